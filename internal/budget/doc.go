// Package budget implements the rules of a quota, which internal/quota enforces: what its terms allow (Terms), which candidate may
// become its leader (GrantVote), which partner gets the next token (NextPartner), and how long a floor is lent (FloorLoanEnds).
//
// They are pure functions without a clock, goroutines or connections, so that the configuration can also use them to check terms.
// docs/design/quota.md lists the rules as tables; a test runs each row.
package budget
