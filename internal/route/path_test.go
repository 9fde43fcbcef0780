package route

import (
	"strings"
	"testing"
)

func TestPathNormalization(t *testing.T) {
	for _, c := range []struct {
		raw, plain string
		how        PathChange
		err        string
	}{
		{raw: "/view/k", plain: "/view/k"},
		{raw: "/view/", plain: "/view/"},
		{raw: "/", plain: "/"},
		{raw: "/view/a;v=1/b;c", plain: "/view/a;v=1/b;c"},
		{raw: "/view/%C3%A9", plain: "/view/%C3%A9"},
		{raw: "/view/%c3%a9", plain: "/view/%C3%A9", how: PathReencoded},
		{raw: "/%76iew/%41%2D", plain: "/view/A-", how: PathReencoded},
		{raw: "/view/a%20b%3F%25", plain: "/view/a%20b%3F%25"},
		{raw: "/view/.hidden/..x", plain: "/view/.hidden/..x"},
		{raw: "/view/../note/k", plain: "/note/k", how: PathSegmentsRemoved},
		{raw: "/view/./k", plain: "/view/k", how: PathSegmentsRemoved},
		{raw: "/view/%2e%2E/note/k", plain: "/note/k", how: PathSegmentsRemoved},
		{raw: "/view//k", plain: "/view/k", how: PathSegmentsRemoved},
		{raw: "//view/k", plain: "/view/k", how: PathSegmentsRemoved},
		{raw: "/view/k/..", plain: "/view/", how: PathSegmentsRemoved},
		{raw: "/view/k/.", plain: "/view/k/", how: PathSegmentsRemoved},
		{raw: "/view//", plain: "/view/", how: PathSegmentsRemoved},
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
		plain, how, err := NormalizePath(c.raw)
		switch {
		case c.err != "":
			why := ""
			if err != nil {
				why = strings.ReplaceAll(err.Error(), `";"`, "semicolon")
			}
			if !strings.Contains(why, c.err) {
				t.Errorf("%q: %q, %v; want an error of %q", c.raw, plain, err, c.err)
			}
		case err != nil || plain != c.plain || how != c.how:
			t.Errorf("%q: %q, %v, %v; want %q, %v", c.raw, plain, how, err, c.plain, c.how)
		}
	}
}

// A path that is forwarded as it came must be of its class for every server.
func TestPathHasClass(t *testing.T) {
	for raw, agrees := range map[string]bool{
		"/view/k": true, "/view": true, "/view/": true, "/view//x/../y": true, `/view/"odd"|{};,`: true, "/view/a%2fB": true,
		"/view/a/../b": true, "/view/%zz": true,
		"/view/../note/k": false, "/view/x/../../note": false, "/view/%2e%2e/note": false, "/view/..%2fnote": false,
		`/view/..\note`: false, `/view\..\note`: false, "/view/..;a/note": false, "/view/%252e%252e/note": false, "/./note/x": false,
		"//note/view": false, "/note/../view": false, "/..": false, "/": false, "view": false,
	} {
		if got := PathHasClass(raw, "view"); got != agrees {
			t.Errorf("%q: %v", raw, got)
		}
	}
}

// The plain form of a plain form is itself, has nothing a server reads in another way, and stays within what
// the path as sent could reach.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/view/k", "/view/../note", "/a/%2e%2e/b", "/a//b", "/a/..;/b", "/%", "/a/%25", "/\\", "/a/%c3%a9", "/a/./", "//"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		plain, how, err := NormalizePath(raw)
		if err != nil {
			return
		}
		again, same, err := NormalizePath(plain)
		if err != nil || again != plain || same != PathUnchanged {
			t.Fatalf("%q is read as %q, and that as %q (%v, %v)", raw, plain, again, same, err)
		}
		if (how == PathUnchanged) != (plain == raw) {
			t.Fatalf("%q is read as %q: %v", raw, plain, how)
		}
		for _, s := range strings.Split(plain[1:], "/") {
			if s == "." || s == ".." {
				t.Fatalf("%q is read as %q", raw, plain)
			}
		}
		if first, _, _ := strings.Cut(plain[1:], "/"); first != "" && !strings.ContainsAny(first, ";%") && !PathHasClass(plain, first) {
			t.Fatalf("%q is of another class to a liberal server", plain)
		}
	})
}
