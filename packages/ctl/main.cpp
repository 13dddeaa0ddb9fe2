#include "ctl/Ctl.h"

#include <exception>
#include <iostream>
#include <string>
#include <vector>

int main(int aArgumentCount, char** aArguments)
{
  try {
    const std::vector<std::string> arguments(aArguments + 1, aArguments + aArgumentCount);
    return static_cast<int>(mustardshift::RunCtl(arguments, std::cout, std::cerr));
  } catch (const std::exception& error) {
    std::cerr << "mustardshiftctl: " << error.what() << "\n";
    return static_cast<int>(mustardshift::ExitCode::Internal);
  }
}
