package fastcgi

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"damsontrestle/internal/config"
	"damsontrestle/internal/validation"
)

// fromHeader begins the names of variables that were headers (RFC 3875 section 4.1.18).
const fromHeader = "HTTP_"

// headOf reads a request's head from its CGI variables (RFC 3875 section 4.1). What could be read in two ways is
// rejected: a variable that comes twice, headers whose names fall together once they are variables, a length
// beside another one, line ends in a value.
func headOf(listener string, params []Param) (validation.Head, *validation.Error) {
	bad := func(reason string) (validation.Head, *validation.Error) {
		return validation.Head{}, &validation.Error{Status: http.StatusBadRequest, Reason: reason}
	}
	vars := make(map[string]string, len(params))
	headers := http.Header{}
	for _, p := range params {
		if _, twice := vars[p.Name]; twice {
			return bad("a variable comes twice")
		}
		if strings.ContainsAny(p.Value, "\r\n\x00") {
			return bad("a variable's value has a line's end")
		}
		vars[p.Name] = p.Value
		if len(p.Name) < len(fromHeader) || !strings.EqualFold(p.Name[:len(fromHeader)], fromHeader) {
			continue
		}
		if strings.Trim(p.Name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_") != "" {
			return bad("a header's variable has a name that is none")
		}
		if p.Name != "HTTP_PROXY" { // no header, but what some programs take for a setting
			name := strings.ReplaceAll(p.Name[len(fromHeader):], "_", "-")
			headers[textproto.CanonicalMIMEHeaderKey(name)] = []string{p.Value}
		}
	}
	if headers.Get("Transfer-Encoding") != "" {
		return bad("a body has no transfer coding here")
	}
	for _, name := range []string{"CONTENT_LENGTH", "CONTENT_TYPE"} {
		if v, also := vars[fromHeader+name]; also && v != vars[name] {
			return bad(name + " and its header differ")
		}
	}
	h := validation.Head{Listener: listener, Protocol: config.FastCGI, Method: vars["REQUEST_METHOD"], Host: vars["HTTP_HOST"],
		ContentType: vars["CONTENT_TYPE"], ContentLength: -1, Headers: headers,
		RequestIDs: headers.Values("X-Request-Id"), Deadlines: headers.Values("X-Deadline"), IdempotencyKeys: headers.Values("Idempotency-Key")}
	if h.Host == "" {
		h.Host = vars["SERVER_NAME"]
	}
	if text := vars["CONTENT_LENGTH"]; text != "" {
		n, err := strconv.ParseUint(text, 10, 62)
		if err != nil {
			return bad("CONTENT_LENGTH is no number")
		}
		h.ContentLength = int64(n)
	} else if h.Method == http.MethodGet {
		h.ContentLength = 0
	}
	if h.Target = vars["REQUEST_URI"]; h.Target == "" {
		h.Target = (&url.URL{Path: vars["SCRIPT_NAME"] + vars["PATH_INFO"]}).EscapedPath()
		if q := vars["QUERY_STRING"]; q != "" {
			h.Target += "?" + q
		}
	}
	if _, err := url.ParseRequestURI(h.Target); err != nil || strings.ContainsAny(h.Target, " #") {
		return bad("the target is none")
	}
	return h, nil
}
