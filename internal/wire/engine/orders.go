package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Orders sends orders to engines and reads their state, through a Client. It is safe for concurrent use.
type Orders struct {
	client *Client
}

// Orders returns an Orders that uses c.
func (c *Client) Orders() Orders {
	return Orders{client: c}
}

// Order sends o to the engine at t, at most once, and returns the engine's state after it has accepted o.
//
// After orders.ErrFenced or orders.ErrNotSent, o has had no effect and never will. After any other error, treat o as one
// that may have taken effect or may still do so.
func (s Orders) Order(ctx context.Context, t entity.Target, o orders.Order) (orders.State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return orders.State{}, fmt.Errorf("%w: %w", orders.ErrNotSent, err)
	}

	state, err := s.call(ctx, http.MethodPut, t, "/order", body)

	var refused *verdict.Error
	if errors.As(err, &refused) && refused.Verdict == verdict.NotRun && refused.Code != verdict.CodeOverloaded {
		return state, fmt.Errorf("%w: %w", orders.ErrNotSent, err)
	}

	return state, err
}

// State fetches the state of the engine at t.
func (s Orders) State(ctx context.Context, t entity.Target) (orders.State, error) {
	return s.call(ctx, http.MethodGet, t, "/state", nil)
}

func (s Orders) call(ctx context.Context, method string, t entity.Target, path string, body []byte) (orders.State, error) {
	var state orders.State

	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, bytes.NewReader(body))
	if err != nil {
		return state, fmt.Errorf("%w: %w", orders.ErrNotSent, err)
	}

	r.Close = true // nothing in an answer tells it from that to an earlier order
	r.Header.Set("Content-Type", "application/json")

	resp, err := s.client.calls.Do(r)
	if err != nil {
		return state, verdict.New(verdict.Of(err), verdict.CodeTargetLost, "no answer from %s", t.ID).WithCause(err)
	}

	defer func() { _ = resp.Body.Close() }()

	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return state, orders.ErrFenced
	default:
		return state, refusal(t, resp)
	}

	err = decodeReport(resp.Body, &state)

	return state, err
}
