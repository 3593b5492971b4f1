package rrconfigdoc

import (
	"rattanring/core/rrconf"
	"rattanring/io/rrwire"
)

// ToWire returns the message of c.
func ToWire(c rrconf.Config) *rrwire.Document {
	text := Encode(c)
	return &rrwire.Document{
		Version: c.Version,
		Change:  c.ChangeID,
		Author:  c.Author,
		Text:    string(text),
		Digest:  Digest(text),
	}
}

// FromWire parses and checks the document in m, like Decode. Its text alone
// counts; the other fields of m are for routing.
func FromWire(m *rrwire.Document) (rrconf.Config, error) {
	return Decode([]byte(m.GetText()))
}
