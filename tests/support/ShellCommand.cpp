#include "support/ShellCommand.h"

#include <array>
#include <cstdio>

#include <sys/wait.h>

namespace buckthornring::test {

auto runShell(const std::string &Command) -> ShellResult {
  ShellResult Out;
  auto *Pipe = ::popen(Command.c_str(), "r");
  std::array<char, 4096> Buffer{};
  while (const auto Size = std::fread(Buffer.data(), 1, Buffer.size(), Pipe))
    Out.Output.append(Buffer.data(), Size);
  const int End = ::pclose(Pipe);
  if (WIFEXITED(End))
    Out.Status = WEXITSTATUS(End);
  return Out;
}

} // namespace buckthornring::test
