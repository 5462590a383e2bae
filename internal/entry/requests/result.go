package requests

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// maxDecodedBytes limits a recorded answer after decompression.
const maxDecodedBytes = 4 << 20

// storedAnswer is an answer as a claim's result stores it, in compressed JSON.
type storedAnswer struct {
	Status      int                    `json:"status,omitempty"`
	ContentType string                 `json:"content-type,omitempty"`
	Target      entity.TargetID        `json:"target,omitempty"`
	Version     entity.SoftwareVersion `json:"version,omitempty"`
	Events      [][]byte               `json:"events"`
}

// resultOf returns the result that a claim records for an ended answer. It contains the answer only if the answer is
// whole and the encoding succeeds within claims.MaxAnswerBytes.
func resultOf(ans *answers.Answer, problem *verdict.Error) claims.Result {
	if problem != nil {
		return claims.Result{Verdict: problem.Verdict}
	}

	meta := ans.Meta()
	encoded, err := encode(storedAnswer{
		Status: meta.Status, ContentType: meta.ContentType, Target: meta.Target, Version: meta.Version, Events: ans.Events(),
	})

	if err != nil || len(encoded) > claims.MaxAnswerBytes {
		return claims.Result{Verdict: verdict.Ran, Status: meta.Status, AnswerDropped: true}
	}

	return claims.Result{Verdict: verdict.Ran, Status: meta.Status, Answer: encoded}
}

// finishFromResult finishes ans with the recorded answer. It reports false if res holds no readable answer.
func finishFromResult(ans *answers.Answer, res claims.Result) bool {
	if res.Answer == nil {
		return false
	}

	stored, err := decode(res.Answer)
	if err != nil {
		return false
	}

	ans.SetMeta(answers.Meta{Status: stored.Status, ContentType: stored.ContentType, Target: stored.Target, Version: stored.Version})

	for _, data := range stored.Events {
		ans.Append(data)
	}

	ans.Finish(nil)

	return true
}

// copyAnswer adds the meta and the events of from to the other answer, and finishes the latter without a problem.
func copyAnswer(to, from *answers.Answer) {
	to.SetMeta(from.Meta())

	for _, data := range from.Events() {
		to.Append(data)
	}

	to.Finish(nil)
}

func encode(stored storedAnswer) ([]byte, error) {
	var b bytes.Buffer

	zip := gzip.NewWriter(&b)
	if err := json.NewEncoder(zip).Encode(stored); err != nil {
		return nil, err
	}

	if err := zip.Close(); err != nil {
		return nil, err
	}

	return b.Bytes(), nil
}

func decode(data []byte) (storedAnswer, error) {
	var stored storedAnswer

	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return stored, err
	}

	err = json.NewDecoder(io.LimitReader(zip, maxDecodedBytes)).Decode(&stored)

	return stored, err
}
