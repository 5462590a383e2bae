package caller

import (
	"encoding/json"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// collect joins the events of a streamed answer into one document, as the answer to a call that does not stream.
func collect(path string, events [][]byte) ([]byte, error) {
	if strings.HasSuffix(path, "/chat/completions") {
		return collectChat(events)
	}

	return collectText(events)
}

// chatAnswer is the document of a complete chat completion. Usage, refusal and tool calls are omitted if the engine did
// not send them; log probabilities and the finish reason are then null, and so is the content of a tool call.
type chatAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chatChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int64                                `json:"index"`
	Message      chatMessage                          `json:"message"`
	Logprobs     *openai.ChatCompletionChoiceLogprobs `json:"logprobs"`
	FinishReason *string                              `json:"finish_reason"`
}

type chatMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal,omitempty"`
	ToolCalls []chatTool `json:"tool_calls,omitempty"`
}

type chatTool struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function chatFunction `json:"function"`
}

type chatFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

var errNoChoice = errs.New("no event holds a choice")

func collectChat(events [][]byte) ([]byte, error) {
	var (
		acc   openai.ChatCompletionAccumulator
		usage json.RawMessage
	)

	for _, data := range events {
		var chunk openai.ChatCompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return nil, err
		}

		acc.AddChunk(chunk)

		if chunk.JSON.Usage.Valid() {
			usage = json.RawMessage(chunk.Usage.RawJSON())
		}
	}

	if len(acc.Choices) == 0 {
		return nil, errNoChoice
	}

	return json.Marshal(chatOf(acc.ChatCompletion, usage))
}

func chatOf(c openai.ChatCompletion, usage json.RawMessage) chatAnswer {
	whole := chatAnswer{
		ID: c.ID, Object: "chat.completion", Created: c.Created, Model: c.Model, Usage: usage,
	}

	for _, choice := range c.Choices {
		whole.Choices = append(whole.Choices, choiceOf(choice))
	}

	return whole
}

func choiceOf(c openai.ChatCompletionChoice) chatChoice {
	m := chatMessage{Role: "assistant", Content: &c.Message.Content}
	if c.Message.Refusal != "" {
		m.Refusal = &c.Message.Refusal
	}

	for _, call := range c.Message.ToolCalls {
		f := chatFunction{Name: call.Function.Name, Arguments: call.Function.Arguments}
		m.ToolCalls = append(m.ToolCalls, chatTool{ID: call.ID, Type: "function", Function: f})
	}

	if c.Message.Content == "" && len(m.ToolCalls) > 0 {
		m.Content = nil
	}

	choice := chatChoice{Index: c.Index, Message: m}
	if c.FinishReason != "" {
		choice.FinishReason = &c.FinishReason
	}

	if len(c.Logprobs.Content)+len(c.Logprobs.Refusal) > 0 {
		choice.Logprobs = &c.Logprobs
	}

	return choice
}

// textChunk holds the fields of a text completion's event. The joined answer has the same form.
type textChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   entity.Model `json:"model"`
	Choices []textChoice `json:"choices"`
	Usage   any          `json:"usage,omitempty"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// collectText joins the text of all events. The finish reason and the usage are the last ones that an event holds; the
// other fields are those of the last event.
func collectText(events [][]byte) ([]byte, error) {
	var (
		whole        textChunk
		text         strings.Builder
		finishReason *string
	)

	choices := 0

	for _, data := range events {
		var chunk textChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return nil, err
		}

		for _, choice := range chunk.Choices {
			choices++

			text.WriteString(choice.Text)

			if choice.FinishReason != nil {
				finishReason = choice.FinishReason
			}
		}

		usage := whole.Usage
		whole = chunk

		if whole.Usage == nil {
			whole.Usage = usage
		}
	}

	if choices == 0 {
		return nil, errNoChoice
	}

	whole.Choices = []textChoice{{Text: text.String(), FinishReason: finishReason}}

	return json.Marshal(whole)
}
