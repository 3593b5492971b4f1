package rrrender

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
)

type statusJSON struct {
	Entry          string       `json:"entry"`
	Incarnation    uint64       `json:"life"`
	Zone           string       `json:"zone"`
	ConfigVersion  uint64       `json:"version"`
	Preset         string       `json:"preset"`
	Evacuated      []string     `json:"evacuated,omitempty"`
	Ready          bool         `json:"ready"`
	Draining       bool         `json:"leaving"`
	StoreReachable bool         `json:"store"`
	Zones          []zoneJSON   `json:"zones"`
	Peers          []peerJSON   `json:"peers"`
	Minions        []minionJSON `json:"minions"`
	Jobs           int          `json:"jobs"`
	Batches        int          `json:"batches"`
	Counts         []countJSON  `json:"counts"`
}

type zoneJSON struct {
	Name      string `json:"name"`
	Reachable bool   `json:"reach"`
}

type peerJSON struct {
	Name          string       `json:"name"`
	Zone          string       `json:"zone"`
	Region        string       `json:"region,omitempty"`
	State         string       `json:"state"`
	HeartbeatAge  jsonDuration `json:"age"`
	ConfigVersion uint64       `json:"version"`
	Slots         int          `json:"slots"`
	Busy          int          `json:"busy"`
	Queued        int          `json:"queued"`
}

type minionJSON struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	Owner   string `json:"keeper"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	Busy    int    `json:"busy"`
}

type countJSON struct {
	Kind  string `json:"kind"`
	Total uint64 `json:"total"`
}

// EncodeStatus returns s as JSON.
func EncodeStatus(s rrstatus.Status) []byte {
	doc := statusJSON{
		Entry:          s.Entry,
		Incarnation:    s.Incarnation,
		Zone:           s.Zone,
		ConfigVersion:  s.ConfigVersion,
		Preset:         string(s.Preset),
		Evacuated:      s.Evacuated,
		Ready:          s.Ready,
		Draining:       s.Draining,
		StoreReachable: s.StoreReachable,
		Zones:          make([]zoneJSON, len(s.Zones)),
		Peers:          make([]peerJSON, len(s.Peers)),
		Minions:        make([]minionJSON, len(s.Minions)),
		Jobs:           s.Jobs,
		Batches:        s.Batches,
		Counts:         make([]countJSON, len(s.Counts)),
	}
	for i, z := range s.Zones {
		doc.Zones[i] = zoneJSON(z)
	}
	for i, p := range s.Peers {
		doc.Peers[i] = encodePeer(p)
	}
	for i, m := range s.Minions {
		doc.Minions[i] = minionJSON(m)
	}
	for i, c := range s.Counts {
		doc.Counts[i] = countJSON(c)
	}
	return encodeJSON(doc)
}

func encodePeer(p rrstatus.Peer) peerJSON {
	return peerJSON{
		Name:          p.Name,
		Zone:          p.Zone,
		Region:        p.Region,
		State:         p.State.String(),
		HeartbeatAge:  jsonDuration(p.HeartbeatAge),
		ConfigVersion: p.ConfigVersion,
		Slots:         p.Slots,
		Busy:          p.Busy,
		Queued:        p.Queued,
	}
}

// DecodeStatus decodes the result of EncodeStatus. An unknown key is an error that
// names the key.
func DecodeStatus(data []byte) (rrstatus.Status, error) {
	var doc statusJSON
	if err := decodeJSON(data, &doc); err != nil {
		return rrstatus.Status{}, err
	}
	s := rrstatus.Status{
		Entry:          doc.Entry,
		Incarnation:    doc.Incarnation,
		Zone:           doc.Zone,
		ConfigVersion:  doc.ConfigVersion,
		Preset:         rrconf.Preset(doc.Preset),
		Evacuated:      doc.Evacuated,
		Ready:          doc.Ready,
		Draining:       doc.Draining,
		StoreReachable: doc.StoreReachable,
		Jobs:           doc.Jobs,
		Batches:        doc.Batches,
	}
	for _, z := range doc.Zones {
		s.Zones = append(s.Zones, rrstatus.Zone(z))
	}
	for _, p := range doc.Peers {
		s.Peers = append(s.Peers, decodePeer(p))
	}
	for _, m := range doc.Minions {
		s.Minions = append(s.Minions, rrstatus.Minion(m))
	}
	for _, c := range doc.Counts {
		s.Counts = append(s.Counts, rrstatus.MessageCount(c))
	}
	return s, nil
}

func decodePeer(p peerJSON) rrstatus.Peer {
	return rrstatus.Peer{
		Name:          p.Name,
		Zone:          p.Zone,
		Region:        p.Region,
		State:         rrstatus.ParsePeerState(p.State),
		HeartbeatAge:  time.Duration(p.HeartbeatAge),
		ConfigVersion: p.ConfigVersion,
		Slots:         p.Slots,
		Busy:          p.Busy,
		Queued:        p.Queued,
	}
}

// WriteStatus writes s as text: the entry's own state, the warnings, then the fleet.
func WriteStatus(w io.Writer, s rrstatus.Status) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(tw, "entry %s in %s, incarnation %d: %s\n", s.Entry, s.Zone, s.Incarnation, readiness(s))
	fmt.Fprintf(tw, "configuration version %d, preset %s\n", s.ConfigVersion, s.Preset)
	fmt.Fprintf(tw, "%d jobs coordinated here, %d batches kept here\n", s.Jobs, s.Batches)
	for _, line := range Warnings(s) {
		fmt.Fprintf(tw, "ATTENTION: %s\n", line)
	}
	writePeers(tw, s.Peers)
	writeMinions(tw, s.Minions)
	writeCounts(tw, s.Counts)
	return tw.Flush()
}

func readiness(s rrstatus.Status) string {
	switch {
	case s.Draining:
		return "leaving"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

// Warnings returns what needs an operator's attention, the most severe first. It is
// empty for a healthy fleet. Evacuated zones come first, since they explain most of what
// the other lines may say.
func Warnings(s rrstatus.Status) []string {
	var lines []string
	for _, zone := range s.Evacuated {
		lines = append(lines, evacuationWarning(zone, s.Minions))
	}
	if !s.StoreReachable {
		lines = append(lines, "the platform's store does not answer this entry")
	}
	for _, z := range s.Zones {
		if !z.Reachable {
			lines = append(lines, "no entry of zone "+z.Name+" is in reach")
		}
	}
	for _, p := range s.Peers {
		if p.State != rrstatus.Alive {
			lines = append(lines, "peer "+p.Name+" is "+p.State.String())
		} else if p.ConfigVersion < s.ConfigVersion {
			lines = append(lines, fmt.Sprintf("peer %s still has configuration version %d", p.Name, p.ConfigVersion))
		}
	}
	return append(lines, minionWarnings(s.Minions)...)
}

// evacuationWarning also tells that no minion is in the zone, because its name may be
// misspelled.
func evacuationWarning(zone string, minions []rrstatus.Minion) string {
	if slices.ContainsFunc(minions, func(m rrstatus.Minion) bool { return m.Zone == zone }) {
		return "zone " + zone + " is evacuated"
	}
	return "zone " + zone + " is evacuated, but no minion of this zone is listed"
}

func minionWarnings(all []rrstatus.Minion) []string {
	var unowned int
	var bad []string
	for _, m := range all {
		if m.Owner == "" {
			unowned++
		}
		if m.State == "quarantined" || m.State == "probation" {
			bad = append(bad, m.Name+" ("+m.State+")")
		}
	}
	var lines []string
	if unowned > 0 {
		lines = append(lines, fmt.Sprintf("%d minions have no keeper in reach", unowned))
	}
	if len(bad) > 0 {
		slices.Sort(bad)
		lines = append(lines, "minions that fail their tasks: "+strings.Join(bad, ", "))
	}
	return lines
}

func writePeers(w io.Writer, all []rrstatus.Peer) {
	fmt.Fprintf(w, "\nPEER\tZONE\tREGION\tSTATE\tAGE\tVERSION\tSLOTS\tBUSY\tQUEUED\n")
	for _, p := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", p.Name, p.Zone, orDash(p.Region),
			p.State, p.HeartbeatAge.Round(time.Millisecond), p.ConfigVersion, p.Slots, p.Busy, p.Queued)
	}
}

func writeMinions(w io.Writer, all []rrstatus.Minion) {
	fmt.Fprintf(w, "\nMINION\tZONE\tSERVICE\tKEEPER\tSTATE\tSLOTS\tBUSY\n")
	for _, m := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", m.Name, m.Zone, m.Service, orDash(m.Owner),
			m.State, m.Slots, m.Busy)
	}
}

func writeCounts(w io.Writer, all []rrstatus.MessageCount) {
	fmt.Fprintf(w, "\nMESSAGES\tTOTAL\n")
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%d\n", c.Kind, c.Total)
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
