package engine

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/standin/orderengine"
)

// OrderEngine returns the order engine, which executes the orders sent to s.
func (s *Server) OrderEngine() *orderengine.Engine {
	return s.orderEngine
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o orders.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())

		return
	}

	state, err := s.orderEngine.Order(o)
	writeOrderState(w, state, err)
}

func (s *Server) handleState(w http.ResponseWriter) {
	state, err := s.orderEngine.State()
	writeOrderState(w, state, err)
}

// writeOrderState writes the engine's state after an order or a query: status 409 for a fenced order, and an
// aborted connection if the engine has crashed.
func writeOrderState(w http.ResponseWriter, state orders.State, err error) {
	switch {
	case errors.Is(err, orders.ErrFenced):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, state)
	}
}
