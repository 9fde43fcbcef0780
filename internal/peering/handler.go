package peering

// Handler takes what comes. It is called on the link's reader, one message after another, and must not block: what takes
// time goes on elsewhere and replies later. reply is nil for a message that asks nothing; else it is called once.
type Handler func(from *Link, body []byte, reply func(answer any, err error))

// Answer is a Handler of questions of one form, which f answers at once or later.
func Answer[Q, A any](f func(from *Link, q Q, answer func(A))) Handler {
	return func(from *Link, body []byte, reply func(any, error)) {
		if reply == nil {
			return // nobody waits for it
		}
		var q Q
		if err := Decode(body, &q); err != nil {
			reply(nil, err)
			return
		}
		f(from, q, func(a A) { reply(a, nil) })
	}
}

// Hear is a Handler of messages of one form that ask nothing. One that is malformed is passed over.
func Hear[M any](f func(from *Link, m M)) Handler {
	return func(from *Link, body []byte, _ func(any, error)) {
		var m M
		if Decode(body, &m) == nil {
			f(from, m)
		}
	}
}
