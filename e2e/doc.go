// Package e2e contains end-to-end tests that run the programs as separate processes on
// loopback against stand-ins for engines, services and the object API.
package e2e
