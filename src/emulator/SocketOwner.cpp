#include "emulator/SocketOwner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <string>

namespace parsleyring {

/// Inode of the socket, 0 if there is none. Queries the kernel for this socket
/// only: a test leaves tens of thousands of closed connections behind, and then
/// reading the table of all sockets takes hundreds of milliseconds.
static std::uint32_t socketInode(int LocalPort, int RemotePort) {
  struct {
    nlmsghdr m_Header;
    inet_diag_req_v2 m_Query;
  } Message{};
  Message.m_Header.nlmsg_len = sizeof(Message);
  Message.m_Header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  Message.m_Header.nlmsg_flags = NLM_F_REQUEST;
  Message.m_Query.sdiag_family = AF_INET;
  Message.m_Query.sdiag_protocol = IPPROTO_TCP;
  Message.m_Query.idiag_states = ~0U;
  inet_diag_sockid &Id = Message.m_Query.id;
  Id.idiag_sport = htons(static_cast<std::uint16_t>(LocalPort));
  Id.idiag_dport = htons(static_cast<std::uint16_t>(RemotePort));
  Id.idiag_src[0] = Id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  Id.idiag_cookie[0] = Id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;

  int Socket = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (Socket < 0)
    return 0;
  alignas(nlmsghdr) char Answer[4096];
  ssize_t Count = send(Socket, &Message, sizeof(Message), 0) < 0
                      ? -1
                      : recv(Socket, Answer, sizeof(Answer), 0);
  close(Socket);
  auto *Header = reinterpret_cast<const nlmsghdr *>(Answer);
  if (Count < static_cast<ssize_t>(NLMSG_LENGTH(sizeof(inet_diag_msg))) ||
      Header->nlmsg_type != SOCK_DIAG_BY_FAMILY)
    return 0;
  return static_cast<const inet_diag_msg *>(NLMSG_DATA(Header))->idiag_inode;
}

static bool ownsSocket(pid_t Process, std::uint32_t Inode) {
  namespace fs = std::filesystem;
  std::error_code Error;
  std::string SocketLink = "socket:[" + std::to_string(Inode) + "]";
  for (fs::directory_iterator
           File("/proc/" + std::to_string(Process) + "/fd", Error),
       End;
       !Error && File != End; File.increment(Error)) {
    std::error_code LinkError; // The process may have closed the file.
    if (fs::read_symlink(File->path(), LinkError) == SocketLink)
      return true;
  }
  return false;
}

bool ownsConnection(const std::vector<pid_t> &Processes, int LocalPort,
                    int RemotePort) {
  std::uint32_t Inode = socketInode(LocalPort, RemotePort);
  return Inode != 0 &&
         std::any_of(Processes.begin(), Processes.end(),
                     [&](pid_t Process) { return ownsSocket(Process, Inode); });
}

} // namespace parsleyring
