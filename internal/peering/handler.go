package peering

// Handler handles the messages of a topic. The link's reader goroutine calls it for one message after another, so it must not block:
// a long-running handler continues in another goroutine and replies later. reply is nil for a notification; for a request it must be
// called once.
type Handler func(from *Link, body []byte, reply func(value any, err error))

// RequestHandler returns a Handler that decodes requests of one type for f, which replies before or after it returns. Notifications
// are ignored.
func RequestHandler[Q, R any](f func(from *Link, request Q, reply func(R))) Handler {
	return func(from *Link, body []byte, reply func(any, error)) {
		if reply == nil {
			return
		}
		var request Q
		if err := Decode(body, &request); err != nil {
			reply(nil, err)
			return
		}
		f(from, request, func(r R) { reply(r, nil) })
	}
}

// NotificationHandler returns a Handler that decodes notifications of one type for f. Malformed ones are ignored.
func NotificationHandler[M any](f func(from *Link, message M)) Handler {
	return func(from *Link, body []byte, _ func(any, error)) {
		var message M
		if Decode(body, &message) == nil {
			f(from, message)
		}
	}
}
