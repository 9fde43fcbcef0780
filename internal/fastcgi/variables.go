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

// headerPrefix is the prefix of variables that hold request headers (RFC 3875 section 4.1.18).
const headerPrefix = "HTTP_"

// parseHead reads a request's head from its CGI variables (RFC 3875 section 4.1). It rejects ambiguous input: duplicate
// variables, headers whose names map to the same variable, conflicting lengths, and line breaks or NUL in values.
func parseHead(listener string, params []Param) (validation.Head, *validation.Error) {
	badRequest := func(reason string) (validation.Head, *validation.Error) {
		return validation.Head{}, &validation.Error{Status: http.StatusBadRequest, Reason: reason}
	}
	vars := make(map[string]string, len(params))
	headers := http.Header{}
	for _, p := range params {
		if _, duplicate := vars[p.Name]; duplicate {
			return badRequest("a variable comes twice")
		}
		if strings.ContainsAny(p.Value, "\r\n\x00") {
			return badRequest("a variable's value has a line's end")
		}
		vars[p.Name] = p.Value
		if len(p.Name) < len(headerPrefix) || !strings.EqualFold(p.Name[:len(headerPrefix)], headerPrefix) {
			continue
		}
		if strings.Trim(p.Name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_") != "" {
			return badRequest("a header's variable has a name that is none")
		}
		if p.Name != "HTTP_PROXY" { // not a header: some programs read this variable as a proxy setting
			name := strings.ReplaceAll(p.Name[len(headerPrefix):], "_", "-")
			headers[textproto.CanonicalMIMEHeaderKey(name)] = []string{p.Value}
		}
	}
	if headers.Get("Transfer-Encoding") != "" {
		return badRequest("a body has no transfer coding here")
	}
	for _, name := range []string{"CONTENT_LENGTH", "CONTENT_TYPE"} {
		if v, ok := vars[headerPrefix+name]; ok && v != vars[name] {
			return badRequest(name + " and its header differ")
		}
	}
	head := validation.Head{Listener: listener, Protocol: config.FastCGI, Method: vars["REQUEST_METHOD"], Host: vars["HTTP_HOST"],
		ContentType: vars["CONTENT_TYPE"], ContentLength: -1, Headers: headers,
		RequestIDs: headers.Values("X-Request-Id"), Deadlines: headers.Values("X-Deadline"), IdempotencyKeys: headers.Values("Idempotency-Key")}
	if head.Host == "" {
		head.Host = vars["SERVER_NAME"]
	}
	if length := vars["CONTENT_LENGTH"]; length != "" {
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil {
			return badRequest("CONTENT_LENGTH is no number")
		}
		head.ContentLength = int64(n)
	} else if head.Method == http.MethodGet {
		head.ContentLength = 0
	}
	if head.Target = vars["REQUEST_URI"]; head.Target == "" {
		head.Target = (&url.URL{Path: vars["SCRIPT_NAME"] + vars["PATH_INFO"]}).EscapedPath()
		if query := vars["QUERY_STRING"]; query != "" {
			head.Target += "?" + query
		}
	}
	if _, err := url.ParseRequestURI(head.Target); err != nil || strings.ContainsAny(head.Target, " #") {
		return badRequest("the target is none")
	}
	return head, nil
}
