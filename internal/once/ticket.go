package once

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Ticket identifies one call and the incarnation of the node that holds its state.
type Ticket struct {
	Holder       fleet.Node
	ID           [16]byte // random
	Organisation fleet.Organisation
	Expires      clock.Instant // on the holder's clock; used only by the holder
}

// Errors of decoding a ticket.
var (
	// ErrTicketMalformed means that the text is not a ticket issued under the secret.
	ErrTicketMalformed = errors.New("once: malformed ticket; send it exactly as returned by POST /tickets")
	// ErrTicketOtherSecret means that the ticket was issued under another secret.
	ErrTicketOtherSecret = errors.New("once: the ticket was issued under another secret; configure the same secret on all nodes")
)

const (
	ticketFormat     = 1
	macBytes         = 16
	secretIDBytes    = 4
	ticketFixedBytes = 1 + secretIDBytes + 8 + 8 + 16 // format, secret ID, incarnation, expiry, ticket ID
	maxNameBytes     = 255
)

// ticketCodec encodes and decodes tickets, authenticated with the deployment secret.
type ticketCodec struct {
	secret   []byte
	secretID [secretIDBytes]byte
}

func newTicketCodec(secret []byte) ticketCodec {
	s := ticketCodec{secret: secret}
	sum := sha256.Sum256(append([]byte("chervilloom ticket secret id\x00"), secret...))
	copy(s.secretID[:], sum[:])
	return s
}

func newTicketID() (id [16]byte) {
	rand.Read(id[:]) // never returns an error, see crypto/rand
	return id
}

// encode returns the encoded ticket that is given to callers.
func (s ticketCodec) encode(t Ticket) string {
	b := make([]byte, 0, ticketFixedBytes+2+len(t.Holder.VM)+len(t.Organisation)+macBytes)
	b = append(b, ticketFormat)
	b = append(b, s.secretID[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Holder.Incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expires))
	b = append(b, t.ID[:]...)
	b = appendName(b, string(t.Holder.VM))
	b = appendName(b, string(t.Organisation))
	return base64.RawURLEncoding.EncodeToString(append(b, s.mac(b)...))
}

// decode decodes and authenticates a ticket.
func (s ticketCodec) decode(text string) (Ticket, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < ticketFixedBytes+2+macBytes || b[0] != ticketFormat {
		return Ticket{}, ErrTicketMalformed
	}
	if [secretIDBytes]byte(b[1:1+secretIDBytes]) != s.secretID {
		return Ticket{}, ErrTicketOtherSecret
	}
	body, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !hmac.Equal(mac, s.mac(body)) {
		return Ticket{}, ErrTicketMalformed
	}
	return parseTicket(body)
}

func (s ticketCodec) mac(b []byte) []byte {
	m := hmac.New(sha256.New, s.secret)
	m.Write(b)
	return m.Sum(nil)[:macBytes]
}

func parseTicket(b []byte) (Ticket, error) {
	var t Ticket
	b = b[1+secretIDBytes:]
	t.Holder.Incarnation = fleet.Incarnation(binary.BigEndian.Uint64(b))
	t.Expires = clock.Instant(binary.BigEndian.Uint64(b[8:]))
	copy(t.ID[:], b[16:])
	vm, rest, ok := cutName(b[32:])
	if !ok {
		return Ticket{}, ErrTicketMalformed
	}
	org, rest, ok := cutName(rest)
	if !ok || len(rest) != 0 {
		return Ticket{}, ErrTicketMalformed
	}
	t.Holder.VM, t.Organisation = fleet.VM(vm), fleet.Organisation(org)
	return t, nil
}

func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}
