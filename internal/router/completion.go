package router

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// completion merges the chunks of a stream into the document that a plain answer
// has. It keeps fields that it does not know, so that tool calls, log
// probabilities and extensions of engines reach the caller.
type completion struct {
	root map[string]any
	size int // bytes of the texts and keys kept
}

// object is a JSON object, array a JSON array.
type (
	object = map[string]any
	array  = []any
)

// textBuilder is a string that grows with the chunks.
type textBuilder struct{ strings.Builder }

// MarshalJSON implements json.Marshaler.
func (t *textBuilder) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

// add merges a chunk.
func (c *completion) add(data []byte) error {
	var chunk object
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&chunk); err != nil {
		return err
	}
	if c.root == nil {
		c.root = make(object)
	}
	for _, choice := range objects(chunk["choices"]) {
		if delta, ok := choice["delta"]; ok {
			choice["message"] = delta
			delete(choice, "delta")
		}
	}
	c.mergeObject(c.root, chunk)
	return nil
}

func objects(value any) []object {
	list, _ := value.(array)
	out := make([]object, 0, len(list))
	for _, item := range list {
		if o, ok := item.(object); ok {
			out = append(out, o)
		}
	}
	return out
}

func (c *completion) mergeObject(into, from object) {
	for key, value := range from {
		old, known := into[key]
		if !known {
			c.size += len(key)
		}
		if value != nil || !known {
			into[key] = c.merge(key, old, value)
		}
	}
}

// merge returns the value of a key after a chunk gave it another one.
func (c *completion) merge(key string, old, value any) any {
	switch v := value.(type) {
	case string:
		return c.mergeText(key, old, v)
	case object:
		into, ok := old.(object)
		if !ok || key == "usage" {
			into = make(object)
		}
		c.mergeObject(into, v)
		return into
	case array:
		into, _ := old.(array)
		return c.mergeArray(into, v)
	default:
		return value
	}
}

func (c *completion) mergeText(key string, old any, value string) any {
	if isWholeText(key) {
		return value
	}
	text, ok := old.(*textBuilder)
	if !ok {
		text = new(textBuilder)
	}
	c.size += len(value)
	text.WriteString(value)
	return text
}

// isWholeText tells whether each chunk has the whole text of the key, not a part.
func isWholeText(key string) bool {
	switch key {
	case "id", "object", "model", "role", "type", "finish_reason", "service_tier", "system_fingerprint":
		return true
	default:
		return false
	}
}

// mergeArray merges elements with the same index, such as choices and tool calls.
// Elements without an index are appended.
func (c *completion) mergeArray(into, from array) array {
	for _, value := range from {
		if element, ok := value.(object); ok {
			if i := indexOf(into, element); i >= 0 {
				c.mergeObject(into[i].(object), element)
				continue
			}
		}
		c.size++
		into = append(into, c.merge("", nil, value))
	}
	return into
}

func indexOf(list array, element object) int {
	index, ok := element["index"].(json.Number)
	if !ok {
		return -1
	}
	return slices.IndexFunc(list, func(value any) bool {
		o, _ := value.(object)
		known, ok := o["index"].(json.Number)
		return ok && known == index
	})
}

// document returns the merged answer. tokens is reported where the engine sent
// no usage.
func (c *completion) document(id, model string, tokens int) object {
	doc := make(object, len(c.root)+1)
	maps.Copy(doc, c.root)
	delete(doc, "index") // the token's position
	doc["id"], doc["object"], doc["model"] = id, "chat.completion", model
	if doc["usage"] == nil {
		doc["usage"] = object{"completion_tokens": tokens}
	}
	for _, choice := range objects(doc["choices"]) {
		message, ok := choice["message"].(object)
		if !ok {
			message = make(object)
			choice["message"] = message
		}
		if message["role"] == nil {
			message["role"] = "assistant"
		}
		for _, call := range objects(message["tool_calls"]) {
			delete(call, "index") // chunks have it, whole answers do not
		}
	}
	return doc
}
