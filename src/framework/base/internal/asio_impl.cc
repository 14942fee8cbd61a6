// Compiles the sources of Boost.Asio, for the whole program.
#include <boost/asio/impl/src.hpp>
