// Package kqclock implements kq.Clock by the operating system's clock.
package kqclock
