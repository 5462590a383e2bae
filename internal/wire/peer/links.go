package peer

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

const (
	keepaliveEvery   = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	maxMessageBytes  = 64 << 20
)

// Links holds a connection to each peer. It is safe for concurrent use; the zero value works.
type Links struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// To returns a client of the peer at address, an ip:port.
func (l *Links) To(address string) (PeerClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	conn, ok := l.conns[address]
	if !ok {
		var err error

		conn, err = grpc.NewClient("passthrough:///"+address, append(once.DialOptions(),
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveEvery, Timeout: keepaliveTimeout}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		)...)
		if err != nil {
			return nil, Error.Wrap(err)
		}

		if l.conns == nil {
			l.conns = map[string]*grpc.ClientConn{}
		}

		l.conns[address] = conn
	}

	return NewPeerClient(conn), nil
}

// Drop closes the connection to address, so that the next call uses a new one. A connection that
// has gone silent may hide a peer that is well.
func (l *Links) Drop(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if conn, ok := l.conns[address]; ok {
		delete(l.conns, address)

		_ = conn.Close()
	}
}

// Close closes all connections.
func (l *Links) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()

	var group errs.Group

	for address, conn := range l.conns {
		delete(l.conns, address)
		group.Add(conn.Close())
	}

	return group.Err()
}

// NewGRPCServer returns a server for the Peer service with this protocol's bounds.
func NewGRPCServer(service PeerServer) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveEvery / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveEvery, Timeout: keepaliveTimeout}),
	)
	RegisterPeerServer(server, service)

	return server
}
