#include "emulator/SocketOwner.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace parsleyring {

static int portOf(const std::string &HexAddress) {
  return std::stoi(HexAddress.substr(HexAddress.find(':') + 1), nullptr, 16);
}

/// Inode of the socket, "0" if there is none.
static std::string inodeOf(int LocalPort, int RemotePort) {
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  std::getline(Table, Line); // Titles of the columns.
  while (std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Number, Local, Remote, Field, Inode;
    Fields >> Number >> Local >> Remote;
    // st, tx_queue:rx_queue, tr:tm->when, retrnsmt, uid, timeout.
    for (int Skipped = 0; Skipped < 6; ++Skipped)
      Fields >> Field;
    if (Fields >> Inode && portOf(Local) == LocalPort &&
        portOf(Remote) == RemotePort)
      return Inode;
  }
  return "0";
}

static bool hasSocket(pid_t Process, const std::string &Inode) {
  namespace fs = std::filesystem;
  std::error_code Error;
  std::string Wanted = "socket:[" + Inode + "]";
  for (fs::directory_iterator
           File("/proc/" + std::to_string(Process) + "/fd", Error),
       End;
       !Error && File != End; File.increment(Error)) {
    std::error_code LinkError; // The file may have been closed by now.
    if (fs::read_symlink(File->path(), LinkError) == Wanted)
      return true;
  }
  return false;
}

bool ownsConnection(const std::vector<pid_t> &Processes, int LocalPort,
                    int RemotePort) {
  std::string Inode = inodeOf(LocalPort, RemotePort);
  return Inode != "0" &&
         std::any_of(Processes.begin(), Processes.end(),
                     [&](pid_t Process) { return hasSocket(Process, Inode); });
}

} // namespace parsleyring
