// Package kq holds the interfaces of kumquatglade that have several
// implementations: clock, disk, link, routing policy, limiter, and the reducer
// as which all decision logic is written. Implementations are below internal/.
package kq
