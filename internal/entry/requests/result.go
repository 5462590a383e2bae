package requests

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// maxKeptBytes bounds an answer after decompression.
const maxKeptBytes = 4 << 20

// kept is the form of an answer in a claim's result.
type kept struct {
	Status      int            `json:"status,omitempty"`
	ContentType string         `json:"content-type,omitempty"`
	Target      table.TargetID `json:"target,omitempty"`
	Events      [][]byte       `json:"events"`
}

// resultOf returns what a claim records of an ended answer.
func resultOf(ans *answers.Answer, problem *verdict.Error) claims.Result {
	if problem != nil {
		return claims.Result{Verdict: problem.Verdict}
	}

	meta := ans.Meta()
	encoded, err := encode(kept{Status: meta.Status, ContentType: meta.ContentType, Target: meta.Target, Events: ans.Events()})

	if err != nil || len(encoded) > claims.MaxAnswerBytes {
		return claims.Result{Verdict: verdict.Ran, Status: meta.Status, Dropped: true}
	}

	return claims.Result{Verdict: verdict.Ran, Status: meta.Status, Answer: encoded}
}

// done finishes ans with a recorded result, and reports false if the answer itself is not kept.
func done(ans *answers.Answer, res claims.Result) bool {
	if res.Answer == nil {
		return false
	}

	k, err := decode(res.Answer)
	if err != nil {
		return false
	}

	ans.SetMeta(answers.Meta{Status: k.Status, ContentType: k.ContentType, Target: k.Target})

	for _, data := range k.Events {
		ans.Append(data)
	}

	ans.Finish(nil)

	return true
}

func copyInto(to, from *answers.Answer) {
	to.SetMeta(from.Meta())

	for _, data := range from.Events() {
		to.Append(data)
	}

	to.Finish(nil)
}

func encode(k kept) ([]byte, error) {
	var b bytes.Buffer

	zip := gzip.NewWriter(&b)
	if err := json.NewEncoder(zip).Encode(k); err != nil {
		return nil, err
	}

	if err := zip.Close(); err != nil {
		return nil, err
	}

	return b.Bytes(), nil
}

func decode(data []byte) (kept, error) {
	var k kept

	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return k, err
	}

	err = json.NewDecoder(io.LimitReader(zip, maxKeptBytes)).Decode(&k)

	return k, err
}
