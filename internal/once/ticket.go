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

// Ticket names the life of the node that holds the state of one call.
type Ticket struct {
	Holder       fleet.Node
	ID           [16]byte // random
	Organisation fleet.Organisation
	Expires      clock.Instant // on the holder's clock; nobody else reads it
}

// The errors of reading a ticket.
var (
	// ErrTicketMalformed means that the bytes were never a ticket.
	ErrTicketMalformed = errors.New("once: not a ticket; send it exactly as POST /tickets gave it")
	// ErrTicketForeign means that the ticket was made under another secret.
	ErrTicketForeign = errors.New("once: the ticket was made under another secret; give all nodes the same secret")
)

const (
	ticketFormat  = 1
	macSize       = 16
	secretIDSize  = 4
	ticketFixed   = 1 + secretIDSize + 8 + 8 + 16 // format, secret id, incarnation, expiry, id
	maxTicketName = 255
)

// sealer makes and reads tickets under the deployment's secret.
type sealer struct {
	secret   []byte
	secretID [secretIDSize]byte
}

func newSealer(secret []byte) sealer {
	s := sealer{secret: secret}
	sum := sha256.Sum256(append([]byte("chervilloom ticket secret id\x00"), secret...))
	copy(s.secretID[:], sum[:])
	return s
}

func newTicketID() (id [16]byte) {
	rand.Read(id[:]) // never fails, see crypto/rand
	return id
}

// seal returns the ticket in the form that callers carry.
func (s sealer) seal(t Ticket) string {
	b := make([]byte, 0, ticketFixed+2+len(t.Holder.VM)+len(t.Organisation)+macSize)
	b = append(b, ticketFormat)
	b = append(b, s.secretID[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Holder.Incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expires))
	b = append(b, t.ID[:]...)
	b = appendName(b, string(t.Holder.VM))
	b = appendName(b, string(t.Organisation))
	return base64.RawURLEncoding.EncodeToString(append(b, s.mac(b)...))
}

// open reads a ticket.
func (s sealer) open(text string) (Ticket, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < ticketFixed+2+macSize || b[0] != ticketFormat {
		return Ticket{}, ErrTicketMalformed
	}
	if [secretIDSize]byte(b[1:1+secretIDSize]) != s.secretID {
		return Ticket{}, ErrTicketForeign
	}
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if !hmac.Equal(mac, s.mac(body)) {
		return Ticket{}, ErrTicketMalformed
	}
	return parseTicket(body)
}

func (s sealer) mac(b []byte) []byte {
	m := hmac.New(sha256.New, s.secret)
	m.Write(b)
	return m.Sum(nil)[:macSize]
}

func parseTicket(b []byte) (Ticket, error) {
	var t Ticket
	b = b[1+secretIDSize:]
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
