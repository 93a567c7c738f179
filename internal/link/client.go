package link

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
)

// Client is a connection of an operator to one instance.
type Client struct {
	conn *jsonrpc2.Conn
	to   fleet.ID
}

// Dial connects an operator to the instance at an address. If k is nil, the
// connection is in plain text and the operator is named "operator".
func Dial(ctx context.Context, to netip.AddrPort, k *keys.Reloader) (*Client, error) {
	self := keys.Identity{Role: keys.Operator, Name: "operator"}
	if k != nil {
		self = k.Identity()
	}
	conn, err := dial(ctx, to, "", self, k, newByteCounters(tally.NoopScope))
	if err != nil {
		return nil, Refused.New("%s: %v", to, err)
	}
	return &Client{conn: conn, to: fleet.ID(to.String())}, nil
}

// Call calls a method of the instance and decodes the result into result, which may
// be nil.
func (c *Client) Call(ctx context.Context, name string, params, result any) error {
	return asUnreachable(c.to, c.conn.Call(ctx, name, params, result))
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }
