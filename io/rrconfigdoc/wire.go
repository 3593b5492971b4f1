package rrconfigdoc

import (
	"rattanring/core/rrconf"
	"rattanring/io/rrwire"
)

// ToWire converts c to a message that holds its document.
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

// FromWire parses and checks the text of m like Decode. It ignores the other fields
// of m, which only repeat or summarize the text.
func FromWire(m *rrwire.Document) (rrconf.Config, error) {
	return Decode([]byte(m.GetText()))
}
