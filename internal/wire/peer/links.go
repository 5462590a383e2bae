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
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	maxMessageBytes   = 64 << 20
)

// Conns holds one gRPC connection for each peer. It is safe for concurrent use. The zero value is ready to use.
type Conns struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Client returns a client for the peer at address, an ip:port. It does not wait for the connection to be established.
func (l *Conns) Client(address string) (PeerClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	conn, ok := l.conns[address]
	if !ok {
		var err error

		conn, err = grpc.NewClient("passthrough:///"+address, append(once.DialOptions(),
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
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

// Drop closes the connection to address, if there is one, so that the next To opens a new one. This helps when the
// old connection no longer delivers data although the peer works.
func (l *Conns) Drop(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if conn, ok := l.conns[address]; ok {
		delete(l.conns, address)

		_ = conn.Close()
	}
}

// Close closes all connections and returns their errors combined.
func (l *Conns) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()

	var group errs.Group

	for address, conn := range l.conns {
		delete(l.conns, address)
		group.Add(conn.Close())
	}

	return group.Err()
}

// NewGRPCServer returns a gRPC server for service, with the message and keepalive limits of this protocol.
func NewGRPCServer(service PeerServer) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	RegisterPeerServer(server, service)

	return server
}
