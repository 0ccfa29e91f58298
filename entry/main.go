// Command entry is part of verbenaroad.
package main

func main() {}
