package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const defaultOutputTokens = 32

// prompt holds the fields of a completion request that the stand-in uses.
type prompt struct {
	Model               string `json:"model"`
	Prompt              string `json:"prompt"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Messages            []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func parsePrompt(body []byte) (prompt, error) {
	var p prompt

	err := json.Unmarshal(body, &p)

	return p, err
}

// text returns the prompt and the contents of all messages, joined by newlines.
func (p prompt) text() string {
	parts := []string{p.Prompt}
	for _, m := range p.Messages {
		parts = append(parts, m.Content)
	}

	return strings.Join(parts, "\n")
}

// outputTokens returns the number of tokens to generate.
func (p prompt) outputTokens() int {
	switch {
	case p.MaxCompletionTokens > 0:
		return p.MaxCompletionTokens
	case p.MaxTokens > 0:
		return p.MaxTokens
	default:
		return defaultOutputTokens
	}
}

// Token returns output token n, counted from 0, that the stand-in engine generates for a prompt text.
func Token(text string, n int) string {
	return fmt.Sprintf("%04x.%d ", xxhash.Sum64String(text)&0xffff, n)
}

// VersionedToken returns output token n that an engine of the given software version generates for a prompt text. It is that
// of Token for an engine that states no version.
func VersionedToken(version entity.SoftwareVersion, text string, n int) string {
	if version == "" {
		return Token(text, n)
	}

	return string(version) + "/" + Token(text, n)
}

// Answer returns the complete answer of n tokens to a prompt text.
func Answer(text string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(text, i))
	}

	return b.String()
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// eventData returns the JSON of event n of a, the answer to the request id. Each event before the last one carries one
// token; the last one carries the finish reason and the usage.
func eventData(id string, a *answer, n int) []byte {
	p := a.prompt
	chat := strings.Contains(a.path, "chat")
	choice := map[string]any{"index": 0, "finish_reason": nil}
	body := map[string]any{"id": id, "created": 0, "model": p.Model, "choices": []any{choice}, "object": "text_completion"}

	if chat {
		body["object"] = "chat.completion.chunk"
	}

	text := ""
	if n < p.outputTokens() {
		text = VersionedToken(a.version, p.text(), n)
	} else {
		choice["finish_reason"] = "stop"
		in := len(strings.Fields(p.text()))
		body["usage"] = usage{Prompt: in, Completion: n, Total: in + n}
	}

	if chat {
		choice["delta"] = map[string]string{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}

	data, _ := json.Marshal(body)

	return data
}
