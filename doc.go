// Package kq holds the interfaces of kumquatglade for behaviour that varies:
// clock, disk, link, routing policy and limiter, and the reducer shape that
// every deciding part has. Implementations live below internal/.
package kq
