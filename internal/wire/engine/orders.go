package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Orders gives orders to engines through a Client. It is safe for concurrent use.
type Orders struct {
	client *Client
}

// Orders returns the part of c that gives orders.
func (c *Client) Orders() Orders {
	return Orders{client: c}
}

// Order gives o to the engine at t and returns the state after it was taken.
//
// It fails with orders.ErrFenced or orders.ErrNotSent if o had and will have no effect; after any
// other error o may still arrive. It is sent at most once.
func (a Orders) Order(ctx context.Context, t table.Target, o orders.Order) (orders.State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return orders.State{}, fmt.Errorf("%w: %w", orders.ErrNotSent, err)
	}

	state, err := a.call(ctx, http.MethodPut, t, "/order", body)

	var refused *verdict.Error
	if errors.As(err, &refused) && refused.Verdict == verdict.NotRun && refused.Code != verdict.CodeOverloaded {
		return state, fmt.Errorf("%w: %w", orders.ErrNotSent, err)
	}

	return state, err
}

// State asks the engine at t for its state.
func (a Orders) State(ctx context.Context, t table.Target) (orders.State, error) {
	return a.call(ctx, http.MethodGet, t, "/state", nil)
}

func (a Orders) call(ctx context.Context, method string, t table.Target, path string, body []byte) (orders.State, error) {
	var state orders.State

	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, bytes.NewReader(body))
	if err != nil {
		return state, fmt.Errorf("%w: %w", orders.ErrNotSent, err)
	}

	r.Header.Set("Content-Type", "application/json")

	resp, err := a.client.http.Do(r)
	if err != nil {
		return state, verdict.New(verdict.Of(err), verdict.CodeTargetLost, "no answer from %s", t.ID).Because(err)
	}

	defer func() { _ = resp.Body.Close() }()

	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return state, orders.ErrFenced
	default:
		return state, refusal(t, resp)
	}

	return state, Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&state))
}
