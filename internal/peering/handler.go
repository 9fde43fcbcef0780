package peering

// Handler handles the messages of a topic. It is called on the link's reader, one message after another, and must not block:
// what takes time goes on elsewhere and replies later. reply is nil for a notification; for a request it is called once.
type Handler func(from *Link, body []byte, reply func(answer any, err error))

// RequestHandler returns a Handler of requests of one type, which f answers at once or later. Notifications are ignored.
func RequestHandler[Q, A any](f func(from *Link, q Q, answer func(A))) Handler {
	return func(from *Link, body []byte, reply func(any, error)) {
		if reply == nil {
			return
		}
		var q Q
		if err := Decode(body, &q); err != nil {
			reply(nil, err)
			return
		}
		f(from, q, func(a A) { reply(a, nil) })
	}
}

// NotificationHandler returns a Handler of notifications of one type. Malformed ones are ignored.
func NotificationHandler[M any](f func(from *Link, m M)) Handler {
	return func(from *Link, body []byte, _ func(any, error)) {
		var m M
		if Decode(body, &m) == nil {
			f(from, m)
		}
	}
}
