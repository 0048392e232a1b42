// Package engine is the client of the model engines on the endpoint VMs. It
// implements the wire format of the stand-in; engines of other deployments need
// a client with the same methods.
//
//	GET  /state                     fleet.EngineState
//	GET  /load                      fleet.Load (delayed)
//	POST /orders                    Order -> OrderResult; 409 if the fence is
//	                                outdated, 410 if meant for another boot
//	POST /v1/chat/completions       ChatRequest -> server-sent events or ChatAnswer
//	GET  /v1/streams/{id}?from=N    events of a stream, starting at offset N
//	DELETE /v1/streams/{id}         cancels the stream
//	GET  /cache/events?after=SEQ    []CacheEvent (delayed, with gaps)
//	POST /kv/export, /kv/import     KVMove
//	POST /leave                     the endpoint accepts no new requests afterwards
package engine

import (
	"fmt"

	"chervilloom/internal/fleet"
)

// Headers used between nodes and engines.
const (
	// HeaderGeneration contains "group/generation" in calls. The engine
	// responds with 412, without running the call, if it is in another group or
	// generation. The response has the same header, which the node compares.
	HeaderGeneration = "Engine-Generation"
	// HeaderBoot contains the boot ID of the engine process that responds.
	HeaderBoot = "Engine-Boot"
	// HeaderStream contains the stream ID, which the node assigns.
	HeaderStream = "Engine-Stream"
	// HeaderPriority contains the priority of the request.
	HeaderPriority = "Engine-Priority"
	// HeaderNotRun is "true" in a refusal that guarantees that nothing ran (412
	// wrong generation, 503 draining or full).
	HeaderNotRun = "Engine-Not-Run"
	// HeaderRateLimit is set in the responses of an overloaded endpoint,
	// including plain services: the number of requests per second, as a
	// decimal, that it accepts from all nodes together while it sends the
	// header.
	HeaderRateLimit = "Engine-Rate-Limit"
	// HeaderRetryAfter is set when an endpoint refuses a request: the number of
	// seconds, possibly fractional, during which this node should send it no
	// requests.
	HeaderRetryAfter = "Retry-After"
	// HeaderLeaving is "1" in the responses of an endpoint that is leaving,
	// including plain services: no new requests are sent to it until it
	// restarts.
	HeaderLeaving = "Engine-Leaving"
)

// GenerationTag returns the value of HeaderGeneration for a generation of a
// group.
func GenerationTag(id fleet.GroupID, g fleet.Generation) string {
	return fmt.Sprintf("%s/%d", id, g)
}

// Verb is the operation that an order requests.
type Verb string

// Verbs of orders.
const (
	VerbJoin  Verb = "join"  // join the group at the given rank and load the model and adapters
	VerbLeave Verb = "leave" // leave the group and free the memory
)

// Order assigns one engine VM its place in a group. Orders are idempotent: the
// same order may be sent again at any time.
type Order struct {
	Verb       Verb             `json:"verb"`
	Fence      fleet.Fence      `json:"fence"`
	Boot       fleet.BootID     `json:"boot"` // boot ID that the order is meant for; an engine with another one refuses it
	Group      fleet.GroupID    `json:"group"`
	Generation fleet.Generation `json:"generation"`
	Rank       int              `json:"rank"`
	Model      string           `json:"model"`
	Version    string           `json:"version"`
	Adapters   []string         `json:"adapters,omitempty"`
	Peers      []string         `json:"peers,omitempty"` // addresses of all members, ordered by rank
}

// OrderResult is the engine's state after an order.
type OrderResult struct {
	Accepted bool              `json:"accepted"`
	State    fleet.EngineState `json:"state"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest contains the fields of a chat completion request that the system
// evaluates. The engine receives the caller's body unmodified.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// ChatChunk is the data of one server-sent event. The event ID is
// "<stream>:<n>", where n numbers the tokens from 0. After the last token, one
// more event with the next n has an empty Delta and sets FinishReason and
// Usage, whose CompletionTokens is the total number of tokens of the answer.
// Then "data: [DONE]" ends the stream.
type ChatChunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ChatAnswer is the body of a response that is not streamed.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the single choice of a chunk or an answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage contains the token counts of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"` // prompt tokens found in the prefix cache
}

// CacheEvent reports that a prefix was added to or evicted from an engine's
// cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // increases by one; a larger step is a gap
	Prefix   uint64 `json:"prefix"`   // hash of the prefix, as in request.Request.Prefix
	Evicted  bool   `json:"evicted"`
}

// KVMove lists cached prefixes to export to or import from an object.
type KVMove struct {
	Object   string   `json:"object"`
	Prefixes []uint64 `json:"prefixes"`
	// Generation is the GenerationTag of the group and generation that the
	// transfer is meant for. An engine that checks it refuses with 412 in any
	// other: KV cache entries of different weights produce wrong answers.
	// Empty: unchecked.
	Generation string `json:"generation,omitempty"`
}
