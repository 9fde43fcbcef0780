package route

import (
	"strings"
	"testing"
)

func TestPathNormalization(t *testing.T) {
	for _, c := range []struct {
		raw, normalized string
		change          PathChange
		err             string
	}{
		{raw: "/view/k", normalized: "/view/k"},
		{raw: "/view/", normalized: "/view/"},
		{raw: "/", normalized: "/"},
		{raw: "/view/a;v=1/b;c", normalized: "/view/a;v=1/b;c"},
		{raw: "/view/%C3%A9", normalized: "/view/%C3%A9"},
		{raw: "/view/%c3%a9", normalized: "/view/%C3%A9", change: PathReencoded},
		{raw: "/%76iew/%41%2D", normalized: "/view/A-", change: PathReencoded},
		{raw: "/view/a%20b%3F%25", normalized: "/view/a%20b%3F%25"},
		{raw: "/view/.hidden/..x", normalized: "/view/.hidden/..x"},
		{raw: "/view/../note/k", normalized: "/note/k", change: PathSegmentsRemoved},
		{raw: "/view/./k", normalized: "/view/k", change: PathSegmentsRemoved},
		{raw: "/view/%2e%2E/note/k", normalized: "/note/k", change: PathSegmentsRemoved},
		{raw: "/view//k", normalized: "/view/k", change: PathSegmentsRemoved},
		{raw: "//view/k", normalized: "/view/k", change: PathSegmentsRemoved},
		{raw: "/view/k/..", normalized: "/view/", change: PathSegmentsRemoved},
		{raw: "/view/k/.", normalized: "/view/k/", change: PathSegmentsRemoved},
		{raw: "/view//", normalized: "/view/", change: PathSegmentsRemoved},
		{raw: "/..", err: "climbs"},
		{raw: "/view/../../note", err: "climbs"},
		{raw: "/view/..;/note", err: "semicolon"},
		{raw: "/view/.;x=1/k", err: "semicolon"},
		{raw: "/view/a%2Fb", err: "separator"},
		{raw: "/view/a%5cb", err: "separator"},
		{raw: `/view/..\note`, err: "backslash"},
		{raw: "/view/a%00", err: "control"},
		{raw: "/view/a\x01", err: "character"},
		{raw: "/view/a b", err: "character"},
		{raw: "/view/\u00e9", err: "beyond ASCII"},
		{raw: "/view/%C0%AF", err: "UTF-8"},
		{raw: "/view/%E9", err: "UTF-8"},
		{raw: "/view/%252e%252e/note", err: "twice"},
		{raw: "/view/%", err: "begins no"},
		{raw: "/view/%4", err: "begins no"},
		{raw: "/view/%zz", err: "begins no"},
		{raw: "view/k", err: "begins with"},
		{raw: "", err: "begins with"},
	} {
		normalized, change, err := NormalizePath(c.raw)
		switch {
		case c.err != "":
			why := ""
			if err != nil {
				why = strings.ReplaceAll(err.Error(), `";"`, "semicolon")
			}
			if !strings.Contains(why, c.err) {
				t.Errorf("%q: got %q, error %v; want an error containing %q", c.raw, normalized, err, c.err)
			}
		case err != nil || normalized != c.normalized || change != c.change:
			t.Errorf("%q: got %q, %v, error %v; want %q, %v", c.raw, normalized, change, err, c.normalized, c.change)
		}
	}
}

// A path that is forwarded unchanged must belong to its class for every server.
func TestPathHasClass(t *testing.T) {
	for raw, want := range map[string]bool{
		"/view/k": true, "/view": true, "/view/": true, "/view//x/../y": true, `/view/"odd"|{};,`: true, "/view/a%2fB": true,
		"/view/a/../b": true, "/view/%zz": true,
		"/view/../note/k": false, "/view/x/../../note": false, "/view/%2e%2e/note": false, "/view/..%2fnote": false,
		`/view/..\note`: false, `/view\..\note`: false, "/view/..;a/note": false, "/view/%252e%252e/note": false, "/./note/x": false,
		"//note/view": false, "/note/../view": false, "/..": false, "/": false, "view": false,
	} {
		if got := PathHasClass(raw, "view"); got != want {
			t.Errorf("%q: got %v, want %v", raw, got, want)
		}
	}
}

// Normalization is idempotent, its result has no dot segments, and the first segment of the result is its class
// for the most liberal server too.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/view/k", "/view/../note", "/a/%2e%2e/b", "/a//b", "/a/..;/b", "/%", "/a/%25", "/\\", "/a/%c3%a9", "/a/./", "//"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		normalized, change, err := NormalizePath(raw)
		if err != nil {
			return
		}
		again, changeAgain, err := NormalizePath(normalized)
		if err != nil || again != normalized || changeAgain != PathUnchanged {
			t.Fatalf("%q is normalized to %q, and that to %q (%v, %v)", raw, normalized, again, changeAgain, err)
		}
		if (change == PathUnchanged) != (normalized == raw) {
			t.Fatalf("%q is normalized to %q with change %v", raw, normalized, change)
		}
		for _, s := range strings.Split(normalized[1:], "/") {
			if s == "." || s == ".." {
				t.Fatalf("%q is normalized to %q, which has a dot segment", raw, normalized)
			}
		}
		if first, _, _ := strings.Cut(normalized[1:], "/"); first != "" && !strings.ContainsAny(first, ";%") && !PathHasClass(normalized, first) {
			t.Fatalf("%q has another class for a liberal server", normalized)
		}
	})
}
