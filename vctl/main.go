// Command vctl is part of verbenaroad.
package main

func main() {}
