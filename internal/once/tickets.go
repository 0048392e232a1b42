package once

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// maxTicketsPerRequest is the maximum number of tickets per request.
const maxTicketsPerRequest = 64

// ticketsBody is the response body of POST /tickets.
type ticketsBody struct {
	Tickets   []string `json:"tickets"`
	ExpiresIn int64    `json:"expires_in_seconds"`
}

// Tickets returns the handler of POST /tickets?count=N (default 1, at most 64),
// which issues tickets held by this incarnation of this node. Issuing a ticket
// uses no memory and no platform. Requesting several at once saves the caller
// round trips.
func (k *Keeper) Tickets() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, e := k.issueTickets(r)
		if e != nil {
			e.SetHeaders(w.Header())
			writeJSON(w, e.Kind.Status(), e.JSON(uuid.NewString()))
			return
		}
		b, err := json.Marshal(body)
		if err != nil { // unreachable: the fields are strings and a number
			panic(err)
		}
		w.Header().Set(TicketHeader, body.Tickets[0])
		writeJSON(w, http.StatusCreated, b)
	})
}

func writeJSON(w http.ResponseWriter, status int, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	w.Write(b)
}

func (k *Keeper) issueTickets(r *http.Request) (*ticketsBody, *outcome.Error) {
	if r.Method != http.MethodPost {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "tickets are asked for with POST", "send POST /tickets")
	}
	count, ok := ticketCount(r)
	if !ok {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "count is not a number from 1 to 64", "send POST /tickets?count=8")
	}
	org, refused := k.opt.Authorise(r.Header)
	if refused != nil {
		return nil, refused
	}
	if len(org) > maxNameBytes {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "the organisation's name is longer than 255 bytes", "ask the operator to shorten it")
	}
	if k.mem.isFull() {
		return nil, tooManyKeys()
	}
	body := &ticketsBody{ExpiresIn: int64(k.opt.TicketTTL / time.Second)}
	for range count {
		body.Tickets = append(body.Tickets, k.newTicket(org))
	}
	return body, nil
}

func ticketCount(r *http.Request) (int, bool) {
	text := r.URL.Query().Get("count")
	if text == "" {
		return 1, true
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 1 && n <= maxTicketsPerRequest
}

func (k *Keeper) newTicket(org fleet.Organisation) string {
	return k.ticketCodec.encode(Ticket{
		Holder: k.opt.Self, ID: newTicketID(), Organisation: org,
		Expires: k.opt.Clock.Now().Add(k.opt.TicketTTL),
	})
}

// ticketID returns the entry ID of the ticket. It cannot collide with the ID of a
// key, which ends in a slash and 32 hexadecimal digits.
func ticketID(t Ticket) string { return "ticket:" + hex.EncodeToString(t.ID[:]) }
