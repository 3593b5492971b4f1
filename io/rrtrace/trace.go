// Package rrtrace gathers the log lines about one job on the users' platform from the logs
// of many processes.
package rrtrace

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"

	"github.com/ansel1/merry/v2"
)

// maxLineBytes is the length of the longest line that Gather accepts.
const maxLineBytes = 1 << 20

// timestampPattern matches the time of a line in logfmt or JSON.
var timestampPattern = regexp.MustCompile(`ts=(\S+)|"ts":"([^"]+)"`)

// Line is one log line about the job.
type Line struct {
	Time string // as logged; empty if the line has no time
	Text string
}

// Gather returns the lines whose key id has the value id, sorted by time. The clocks of
// processes differ slightly, so the order between processes is approximate.
func Gather(id string, logs ...io.Reader) ([]Line, error) {
	idPattern, err := regexp.Compile(`(\bid=|"id":")` + regexp.QuoteMeta(id) + `\b`)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var out []Line
	for _, r := range logs {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			if text := lines.Text(); idPattern.MatchString(text) {
				out = append(out, Line{Time: timeOf(text), Text: text})
			}
		}
		if err := lines.Err(); err != nil {
			return nil, merry.Wrap(err)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return out, nil
}

func timeOf(text string) string {
	m := timestampPattern.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return m[1] + m[2]
}
