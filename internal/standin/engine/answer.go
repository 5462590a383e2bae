package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const defaultOutput = 32

// prompt is what the stand-in reads of a completion request.
type prompt struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	MaxNew    int    `json:"max_completion_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func parsePrompt(body []byte) (prompt, error) {
	var p prompt

	err := json.Unmarshal(body, &p)

	return p, err
}

func (p prompt) text() string {
	parts := []string{p.Prompt}
	for _, m := range p.Messages {
		parts = append(parts, m.Content)
	}

	return strings.Join(parts, "\n")
}

func (p prompt) output() int {
	switch {
	case p.MaxNew > 0:
		return p.MaxNew
	case p.MaxTokens > 0:
		return p.MaxTokens
	default:
		return defaultOutput
	}
}

// Token returns the n-th output token that a stand-in engine generates for a prompt text.
func Token(text string, n int) string {
	return fmt.Sprintf("%04x.%d ", xxhash.Sum64String(text)&0xffff, n)
}

// Answer returns the whole answer of n tokens to a prompt text.
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

// chunk renders event n of an answer of total tokens; the event after the last token carries the
// finish reason and the usage.
func chunk(id, path string, p prompt, n int) []byte {
	chat := strings.Contains(path, "chat")
	choice := map[string]any{"index": 0, "finish_reason": nil}
	body := map[string]any{"id": id, "created": 0, "model": p.Model, "choices": []any{choice}, "object": "text_completion"}

	if chat {
		body["object"] = "chat.completion.chunk"
	}

	text := ""
	if n < p.output() {
		text = Token(p.text(), n)
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
