package rrconfigdoc

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrconf"
)

func fullConfig() rrconf.Config {
	return rrconf.Config{
		Version:       3,
		ChangeID:      "01J9",
		Author:        "ann",
		Preset:        rrconf.Peak,
		AllowUnlisted: true,
		Tenants:       []rrconf.Tenant{{Name: "ports", Weight: 2, Quota: 200}, {Name: "co-ops", Weight: 1}},
		Overrides: map[rrconf.Preset]rrconf.Thresholds{
			rrconf.Peak: {DeadlineFactor: 0.8, MaxBacklog: 20 * time.Second, RetryRatio: 0.05, AgingHalfLife: 1500 * time.Millisecond, MinBatchTasks: 24},
		},
	}
}

// TestGolden guards the text of documents. One without evacuated zones must not change,
// since entries of older versions refuse a document with an unknown key.
func TestGolden(t *testing.T) {
	evacuated := fullConfig()
	evacuated.Evacuated = []string{"abertawe", "bangor"}
	for name, cfg := range map[string]rrconf.Config{"full.json": fullConfig(), "evacuated.json": evacuated} {
		want, err := os.ReadFile("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if got := Encode(cfg); !bytes.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
		}
		got, err := Decode(want)
		if err != nil || !reflect.DeepEqual(got, cfg) {
			t.Errorf("%s: got %+v, %v, want %+v", name, got, err, cfg)
		}
	}
}

func TestDecodeErrors(t *testing.T) {
	tests := []struct{ text, want string }{
		{`{"preset":"peak"}`, ``},
		{`{}`, `preset: "" is not allowed, want ordinary, peak or maintenance`},
		{`{"preset":"peak","presets":1}`, `presets: the key is unknown`},
		{`{"preset":"peak","Open":true}`, `Open: the key is unknown`},
		{`{"preset":"peak","preset":"ordinary"}`, `preset: the key is given twice`},
		{`{"preset":"peak","tenants":[{"name":"a"},{"name":"b","wieght":2}]}`, `tenants[1].wieght: the key is unknown`},
		{`{"preset":"peak","rules":{"peak":{"slack":1,"slack":2}}}`, `rules.peak.slack: the key is given twice`},
		{`{"preset":"peak","rules":{"night":{}}}`, `rules.night: the key is unknown`},
		{`{"preset":"peak","rules":{"peak":{"backlog":"1x"}}}`, `rules.peak.backlog: "1x" is not allowed, want a duration such as "20s"`},
		{`{"preset":"peak","rules":{"peak":{"slack":1e999}}}`, `rules.peak.slack: 1e999 is not allowed, want a number`},
		{`{"preset":"peak","rules":{"peak":{"batch":0}}}`, `rules.peak.batch: 0 is not allowed, want 1 to 10000`},
		{`{"preset":"peak","version":-1}`, `version: -1 is not allowed, want a whole number, 0 or above`},
		{`{"preset":"peak","version":1.5}`, `version: 1.5 is not allowed, want a whole number, 0 or above`},
		{`{"preset":"peak","evacuated":[]}`, ``},
		{`{"preset":"peak","evacuated":"a"}`, `evacuated: "a" is not allowed, want an array`},
		{`{"preset":"peak","evacuated":["a","a"]}`, `evacuated[1]: "a" is not allowed, want each name once`},
		{`{"preset":"peak","evacuated":[` + strings.Repeat(`"a",`, 64) + `"b"]}`, `evacuated[64]: one more is not allowed, want at most 64 zones`},
		{`{"preset":null}`, `preset: null is not allowed, want a text`},
		{`{"preset":"peak","tenants":{}}`, `tenants: { is not allowed, want an array`},
		{`[]`, `document: [ is not allowed, want an object`},
		{`{"preset":"peak"`, `not JSON at byte 16: unexpected EOF`},
		{`{"preset":"peak"} {}`, `not JSON at byte 19: "{" after the document`},
		{"{\"author\":\"\xff\"}", `not JSON at byte 0: the text is not UTF-8`},
		{strings.Repeat(" ", MaxDocumentBytes+1), `document: 524289 bytes is not allowed, want at most 524288 bytes`},
	}
	for _, tc := range tests {
		_, err := Decode([]byte(tc.text))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != tc.want {
			t.Errorf("%.80s:\ngot  %s\nwant %s", tc.text, got, tc.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(fullConfig()))
	f.Add([]byte(`{"preset":"peak","rules":{"peak":{"slack":0.1}},"tenants":[{"name":"a"}]}`))
	f.Add([]byte(`{"preset":"peak",}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := Decode(text)
		if err != nil {
			return
		}
		back, err := Decode(Encode(cfg))
		if err != nil || !reflect.DeepEqual(back, cfg) {
			t.Errorf("round trip: got %+v, %v, want %+v", back, err, cfg)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	cfg := fullConfig()
	cfg.Tenants = nil
	for i := range 21 {
		cfg.Tenants = append(cfg.Tenants, rrconf.Tenant{Name: "team" + string(rune('a'+i)), Weight: 1, Quota: 500})
	}
	text := Encode(cfg)
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Decode(text); err != nil {
			b.Fatal(err)
		}
	}
}
