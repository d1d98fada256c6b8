// Package kqclock implements kq.Clock with the operating system's clock.
package kqclock
