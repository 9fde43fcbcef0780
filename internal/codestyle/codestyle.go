// Package codestyle holds checks of how the code reads and of what the program is built from. They are tests; the package itself is
// empty and nothing imports it.
package codestyle
