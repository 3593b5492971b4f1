package rrroute

import "testing"

func TestMatch(t *testing.T) {
	cfg := NewConfig(3, []Queue{
		{Name: "short", Host: "A.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, Limits{})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:80", "/x/1", "short"},
		{"a.example", "/z", ""},
		{"b.example", "/z", "other"},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if q := cfg.Match(tc.host, tc.path); q != nil {
			got = q.Name
		}
		if got != tc.want {
			t.Errorf("Match(%q, %q): got %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
	if got := new(Config).Match("a.example", "/x/1"); got != nil {
		t.Errorf("zero Config: got %v, want nil", got)
	}
}
