package usagereport_test

import (
	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/usage"
)

var usagePeer = usage.Peer{Host: "b", DataCentre: "z"}

// lateMessage tells four requests of w.
func lateMessage(w duties.Window) usage.Message {
	return usage.Message{Records: []usage.Record{{Host: "b", Window: w, Counts: usage.Counts{"x": 4}}}, Position: 1}
}
