// Package engine speaks to the model engines on the endpoint VMs. The wire
// format here is the one that the stand-in serves; another deployment's engines
// are met by another client of the same shape.
//
//	GET  /state                     fleet.EngineState
//	GET  /load                      fleet.Load (lags)
//	POST /orders                    Order -> OrderResult; 409 when the fence is
//	                                old, 410 when meant for another life
//	POST /v1/chat/completions       ChatRequest -> server-sent events or ChatAnswer
//	GET  /v1/streams/{id}?from=N    the events of a stream from offset N on
//	DELETE /v1/streams/{id}         cancels the stream
//	GET  /cache/events?after=SEQ    []CacheEvent (late, with gaps)
//	POST /kv/export, /kv/import     KVMove
//	POST /leave                     the endpoint takes no new request from now on
package engine

import (
	"fmt"

	"chervilloom/internal/fleet"
)

// Header names between nodes and engines.
const (
	// HeaderGeneration carries "group/generation" with a call. The engine
	// refuses with 412 when it is in another group or generation: the call
	// did not run. The answer carries the same header; the node compares.
	HeaderGeneration = "Engine-Generation"
	// HeaderBoot carries the boot id of the life that answers.
	HeaderBoot = "Engine-Boot"
	// HeaderStream carries the stream id, which the node chooses.
	HeaderStream = "Engine-Stream"
	// HeaderPriority carries the request's priority.
	HeaderPriority = "Engine-Priority"
	// HeaderNotRun is "true" on a refusal that promises that nothing ran
	// (412 wrong generation, 503 draining or full).
	HeaderNotRun = "Engine-Not-Run"
	// HeaderRateLimit is in the answers of an endpoint in need, also of a plain
	// service: the requests a second, a decimal number, that it takes from all
	// nodes together for as long as it says so.
	HeaderRateLimit = "Engine-Rate-Limit"
	// HeaderRetryAfter is in the answers of an endpoint that turns a request away: the seconds,
	// with decimals, for which it wants nothing from this node.
	HeaderRetryAfter = "Retry-After"
	// HeaderLeaving is "1" in the answers of an endpoint that leaves, also of a plain
	// service: nothing new is sent there in this life.
	HeaderLeaving = "Engine-Leaving"
)

// GenerationTag returns the value of HeaderGeneration for a group's generation.
func GenerationTag(id fleet.GroupID, g fleet.Generation) string {
	return fmt.Sprintf("%s/%d", id, g)
}

// Verb is what an order asks for.
type Verb string

// The verbs.
const (
	VerbJoin  Verb = "join"  // take the place described, load model and adapters
	VerbLeave Verb = "leave" // be in no group, free the memory
)

// Order tells one engine VM its place. Orders are level-triggered: the same
// order may be sent again at any time without harm.
type Order struct {
	Verb       Verb             `json:"verb"`
	Fence      fleet.Fence      `json:"fence"`
	Boot       fleet.BootID     `json:"boot"` // the life the order is meant for; another life refuses
	Group      fleet.GroupID    `json:"group"`
	Generation fleet.Generation `json:"generation"`
	Rank       int              `json:"rank"`
	Model      string           `json:"model"`
	Version    string           `json:"version"`
	Adapters   []string         `json:"adapters,omitempty"`
	Peers      []string         `json:"peers,omitempty"` // addresses of all members in rank order
}

// OrderResult is the engine's state after the order.
type OrderResult struct {
	Accepted bool              `json:"accepted"`
	State    fleet.EngineState `json:"state"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the usual chat completion request, as far as the system reads
// it. The body goes to the engine as the caller sent it.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// ChatChunk is the data of one server-sent event. The event's id is
// "<stream>:<n>", with the tokens numbered from 0. After the last token, one
// more event with the next n has an empty Delta, FinishReason set and Usage,
// whose CompletionTokens is the number of tokens of the whole answer; then
// "data: [DONE]" ends the stream.
type ChatChunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ChatAnswer is the body of an answer that is not streamed.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the one choice of a chunk or an answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"` // prompt tokens served from the prefix cache
}

// CacheEvent tells that a prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // grows by one; a jump is a gap
	Prefix   uint64 `json:"prefix"`   // hash as in request.Request.Prefix
	Evicted  bool   `json:"evicted"`
}

// KVMove names cached prefixes to export to or import from an object.
type KVMove struct {
	Object   string   `json:"object"`
	Prefixes []uint64 `json:"prefixes"`
	// Generation is the GenerationTag of the place that the move is meant for.
	// An engine that checks it refuses with 412 in any other place: KV cache of
	// other weights gives wrong answers. Empty: unchecked.
	Generation string `json:"generation,omitempty"`
}
