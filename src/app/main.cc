// Entry point of the one binary.
#include <iostream>

int main() {
  std::cout << "carobmast " << CAROBMAST_VERSION << "\n";
  return 0;
}
