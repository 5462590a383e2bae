package forwarding

import (
	"io"
	"net/http"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// bodyReader reads the data of an answer until its last event.
type bodyReader struct {
	next func() (*peer.ServeEvent, error)
	data []byte
}

// Read implements io.Reader. An answer that ends otherwise than with its last event is an error.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.data) == 0 {
		e, err := r.next()

		switch {
		case err == io.EOF: //nolint:errorlint // the end of the call, which must not be taken for that of the answer
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		case e.GetLast():
			return 0, io.EOF
		case e.GetProblem() != nil || e.GetAborted():
			return 0, io.ErrUnexpectedEOF
		}

		r.data = e.GetData()
	}

	n := copy(p, r.data)
	r.data = r.data[n:]

	return n, nil
}

func encode(r *relay.Request, h relay.Handover) *peer.ServeRequest {
	m := &peer.ServeRequest{
		RequestId: string(r.ID), Method: r.Method, Uri: r.URI, Host: r.Host, Path: r.Path, Header: fieldsOf(r.Header), Body: r.Body,
		TimeoutUs: r.Timeout.Microseconds(), Prompt: int64(r.Prompt), Output: int64(r.Output), LastEventId: r.LastEventID, Resumes: string(r.Resumes),
		Configuration: uint64(h.Configuration), Counted: h.Counted, Prefilled: h.Prefilled,
		Account: string(h.Account), Rank: uint32(max(h.Rank, 0)),
	}

	for _, part := range r.Parts {
		m.Parts = append(m.Parts, &peer.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
	}

	for _, id := range h.Avoid {
		m.Avoid = append(m.Avoid, string(id))
	}

	return m
}

// decode returns the request m, which has arrived now.
func decode(now time.Time, m *peer.ServeRequest) (*relay.Request, *verdict.Error) {
	if m.GetRequestId() == "" || m.GetMethod() == "" || m.GetUri() == "" || m.GetTimeoutUs() <= 0 || m.GetPrompt() < 0 || m.GetOutput() < 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the forwarded request is malformed")
	}

	h := &relay.Handover{
		Configuration: catalog.Version(m.GetConfiguration()), Counted: m.GetCounted(), Prefilled: m.GetPrefilled(),
		Account: entity.AccountID(m.GetAccount()), Rank: int(m.GetRank()),
	}
	for _, id := range m.GetAvoid() {
		h.Avoid = append(h.Avoid, entity.TargetID(id))
	}

	r := &relay.Request{
		ID: entity.RequestID(m.GetRequestId()), Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(), Path: m.GetPath(),
		Header: headerOf(m.GetHeader()), Body: m.GetBody(), Arrived: now, Timeout: time.Duration(m.GetTimeoutUs()) * time.Microsecond,
		Prompt: entity.Tokens(m.GetPrompt()), Output: entity.Tokens(m.GetOutput()), LastEventID: m.GetLastEventId(),
		Resumes: entity.RequestID(m.GetResumes()), Handover: h,
	}

	for _, part := range m.GetParts() {
		r.Parts = append(r.Parts, placing.Part{ID: part.GetId(), Tokens: entity.Tokens(part.GetTokens())})
	}

	return r, nil
}

func fieldsOf(h http.Header) []*peer.HeaderField {
	fields := make([]*peer.HeaderField, 0, len(h))
	for name, values := range h {
		fields = append(fields, &peer.HeaderField{Name: name, Values: values})
	}

	return fields
}
