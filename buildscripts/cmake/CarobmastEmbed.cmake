# carobmast_embed(TARGET <target> NAMESPACE <ns> FUNCTION <Function> FILE <file>)
#
# Embeds a text file in the target: generates <ns>::<Function>(), which returns
# the text as a std::string_view, in the header "embedded/<Function>.h".
function(carobmast_embed)
  cmake_parse_arguments(ARG "" "TARGET;NAMESPACE;FUNCTION;FILE" "" ${ARGN})
  get_filename_component(path ${ARG_FILE} ABSOLUTE)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${path})
  file(READ ${path} content)
  set(folder ${CMAKE_CURRENT_BINARY_DIR}/embedded)
  file(CONFIGURE OUTPUT ${folder}/embedded/${ARG_FUNCTION}.h @ONLY CONTENT
"#pragma once
#include <string_view>
namespace ${ARG_NAMESPACE} {
inline std::string_view ${ARG_FUNCTION}() {
  return R\"EMBED(${content})EMBED\";
}
}  // namespace ${ARG_NAMESPACE}
")
  target_include_directories(${ARG_TARGET} PRIVATE ${folder})
endfunction()
