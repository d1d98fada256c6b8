// Package kqdisk implements kq.Disk by a folder of the file system.
package kqdisk
