// Package budget has the rules of a quota, which internal/quota enforces: what its terms allow (Terms), who may become its
// leader (GrantVote), which partner the next token goes to (NextPartner), and for how long a floor is lent (FloorLoanEnds).
//
// They are plain functions without clock, task or link, so that the configuration checks terms by them too.
// docs/design/quota.md has them as tables, and a test plays each row.
package budget
