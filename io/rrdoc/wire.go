package rrdoc

import (
	"rattanring/core/rrconf"
	"rattanring/io/rrwire"
)

}

// ToWire returns the message of c.
func ToWire(c rrconf.Config) *rrwire.Document {
	text := Encode(c)
	h := fnv.New64a()
	h.Write(text)
	return &rrwire.Document{
		Version: c.Version,
		Change:  c.Change,
		Author:  c.Author,
		Text:    string(text),
		Digest:  h.Sum64(),
	}
}

// FromWire parses and checks the document in m, like Decode. Its text alone
// counts; the other fields of m are for routing.
func FromWire(m *rrwire.Document) (rrconf.Config, error) {
	return Decode([]byte(m.GetText()))
}
