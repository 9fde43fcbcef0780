// Package codestyle contains tests that check the vocabulary of the code and the packages that the program imports. It has no
// code besides tests, and no package imports it.
package codestyle
