package engine

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/orders"
)

// Orders returns the part of the engine that takes orders.
func (s *Server) Orders() *standin.Engine {
	return s.orders
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o orders.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())

		return
	}

	state, err := s.orders.Order(o)
	answerOrder(w, state, err)
}

func (s *Server) state(w http.ResponseWriter) {
	state, err := s.orders.State()
	answerOrder(w, state, err)
}

func answerOrder(w http.ResponseWriter, state orders.State, err error) {
	switch {
	case errors.Is(err, orders.ErrFenced):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, state)
	}
}
