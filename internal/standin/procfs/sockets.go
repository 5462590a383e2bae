package procfs

import (
	"encoding/binary"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/zeebo/errs"
)

// Ports are the ports of a TCP connection over IPv4, as the end that owns a socket sees them.
type Ports struct{ Local, Remote uint16 }

// The kernel's requests and answers about sockets, struct inet_diag_req_v2 and struct inet_diag_msg.
const (
	netlinkSocketDiag = 4
	socketsByFamily   = 20

	headLength    = 16
	requestLength = 56
	familyOffset  = 0
	protoOffset   = 1
	statesOffset  = 4

	established = 1

	messageLength = 72
	localOffset   = 4
	remoteOffset  = 6
	inodeOffset   = 68

	receiveSize = 64 << 10
)

// SocketOwners returns which of the processes pids has each open TCP connection over IPv4. It passes over processes that have ended.
func SocketOwners(pids []int) (map[Ports]int, error) {
	byInode := map[string]int{}

	for _, pid := range pids {
		for _, inode := range socketsOf(pid) {
			byInode[inode] = pid
		}
	}

	owners := map[Ports]int{}
	err := eachConnection(func(ports Ports, inode uint32) {
		if pid, owned := byInode[strconv.FormatUint(uint64(inode), 10)]; owned {
			owners[ports] = pid
		}
	})

	return owners, err
}

// eachConnection calls f with each open TCP connection over IPv4 and the inode of its socket.
func eachConnection(f func(ports Ports, inode uint32)) (err error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM, netlinkSocketDiag)
	if err != nil {
		return Error.Wrap(err)
	}

	defer func() { err = errs.Combine(err, Error.Wrap(syscall.Close(fd))) }()

	request := make([]byte, headLength+requestLength)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], socketsByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)

	body := request[headLength:]
	body[familyOffset], body[protoOffset] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[statesOffset:], 1<<established)

	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return Error.Wrap(err)
	}

	buf := make([]byte, receiveSize)

	for {
		n, _, err := syscall.Recvfrom(fd, buf, 0)
		if err != nil {
			return Error.Wrap(err)
		}

		messages, err := syscall.ParseNetlinkMessage(buf[:n])
		if err != nil {
			return Error.Wrap(err)
		}

		for _, m := range messages {
			switch {
			case m.Header.Type == syscall.NLMSG_DONE:
				return nil
			case m.Header.Type == syscall.NLMSG_ERROR || len(m.Data) < messageLength:
				return Error.New("the kernel does not list sockets")
			}

			f(Ports{
				Local: binary.BigEndian.Uint16(m.Data[localOffset:]), Remote: binary.BigEndian.Uint16(m.Data[remoteOffset:]),
			}, binary.NativeEndian.Uint32(m.Data[inodeOffset:]))
		}
	}
}

// socketsOf returns the inodes of the sockets of pid.
func socketsOf(pid int) []string {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)

	descriptors, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}

	var inodes []string

	for _, d := range descriptors {
		link, err := os.Readlink(dir + d.Name())
		if err != nil {
			continue // closed meanwhile
		}

		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes = append(inodes, strings.TrimSuffix(inode, "]"))
		}
	}

	return inodes
}
