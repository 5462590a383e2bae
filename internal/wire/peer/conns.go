package peer

import (
	"cmp"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

const (
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	maxMessageBytes   = 64 << 20
	// idleTimeout is longer than the time between two heartbeats, so that the connections to hosts with which this host exchanges
	// none close.
	idleTimeout = 20 * time.Second
	// handshakeTimeout bounds the time from the start of a connection to its first frames, which peers send at once.
	handshakeTimeout = 5 * time.Second
	// maxHeaderBytes bounds the fields of a call; requests travel in messages.
	maxHeaderBytes = 64 << 10

	// streamWindow and connectionWindow are the most bytes of one call and of all calls of a connection that a receiver lets its
	// peer send ahead. They are fixed, since gRPC otherwise sends pings with each message to estimate them.
	streamWindow     = 1 << 20
	connectionWindow = 16 << 20
)

// Conns holds one gRPC connection for each peer. It is safe for concurrent use. The zero value is ready to use.
type Conns struct {
	// IdleTimeout is the time without calls after which a connection closes until the next call; zero means 20 s.
	IdleTimeout time.Duration

	mu    sync.Mutex
	links map[string]link // by address
}

// link is a connection and its client.
type link struct {
	conn   *grpc.ClientConn
	client PeerClient
}

// Client returns a client for the peer at address, an ip:port. It does not wait for the connection to be established.
func (c *Conns) Client(address string) (PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	l, ok := c.links[address]
	if !ok {
		conn, err := grpc.NewClient("passthrough:///"+address, append(once.DialOptions(),
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			grpc.WithIdleTimeout(cmp.Or(c.IdleTimeout, idleTimeout)),
			grpc.WithStaticStreamWindowSize(streamWindow), grpc.WithStaticConnWindowSize(connectionWindow),
		)...)
		if err != nil {
			return nil, Error.Wrap(err)
		}

		if c.links == nil {
			c.links = map[string]link{}
		}

		l = link{conn: conn, client: NewPeerClient(conn)}
		c.links[address] = l
	}

	return l.client, nil
}

// Drop closes the connection of client, which Client has returned for address; the next call of Client opens a new one. This
// helps when the old connection no longer delivers data although the peer works. If that connection has been replaced already,
// Drop does nothing.
func (c *Conns) Drop(address string, client PeerClient) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if l, ok := c.links[address]; ok && l.client == client {
		delete(c.links, address)

		_ = l.conn.Close()
	}
}

// Close closes all connections and returns their errors combined.
func (c *Conns) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()

	var group errs.Group

	for address, l := range c.links {
		delete(c.links, address)
		group.Add(l.conn.Close())
	}

	return group.Err()
}

// NewGRPCServer returns a gRPC server for service, with the message and keepalive limits of this protocol. A call that
// panics is recorded by recorder and fails with codes.Internal.
func NewGRPCServer(service PeerServer, recorder panics.Recorder) *grpc.Server {
	server := grpc.NewServer(
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(streamWindow), grpc.StaticConnWindowSize(connectionWindow),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(recoverUnary(recorder)),
		grpc.StreamInterceptor(recoverStream(recorder)),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	RegisterPeerServer(server, service)

	return server
}
