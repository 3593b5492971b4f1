package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"rattanring/io/rrendpointslice"
)

func TestUsage(t *testing.T) {
	tests := []struct {
		args string
		want int
		text string
	}{
		{"--help", exitOK, "platform"},
		{"minion --help", exitOK, "-slots"},
		{"", exitUsage, "SUBCOMMAND"},
		{"minion --slots 0", exitUsage, "want a whole number from 1 to 1000"},
		{"platform --bogus", exitUsage, "bogus"},
	}
	for _, test := range tests {
		var errs bytes.Buffer
		got := run(context.Background(), strings.Fields(test.args), io.Discard, &errs)
		if got != test.want || !strings.Contains(errs.String(), test.text) {
			t.Errorf("%s: got %d and %q, want %d and %q", test.args, got, errs.String(), test.want, test.text)
		}
	}
}

// TestMinionsRegister checks that minions of a separate command appear in the
// platform's instance list.
func TestMinionsRegister(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	url := firstLine(t, ctx, "platform")[1]
	firstLine(t, ctx, "minion", "--n", "2", "--platform", url)
	res, err := http.Get(url + rrendpointslice.ListPath)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var list rrendpointslice.EndpointSliceList
	if err := json.NewDecoder(res.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	if got, want := len(list.Items), 2; got != want {
		t.Errorf("got %d instances, want %d", got, want)
	}
	cancel()
}

// firstLine runs a command until ctx ends and returns the words of its first line.
func firstLine(t *testing.T, ctx context.Context, args ...string) []string {
	r, w := io.Pipe()
	go run(ctx, args, w, io.Discard)
	lines := bufio.NewReader(r)
	line, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, lines)
	return strings.Fields(line)
}
