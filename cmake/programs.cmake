# Executables of the product and the example program.
acaciaspring_program(acaciaspringd SOURCES src/main/acaciaspringd.cc DEPENDS acaciaspring_daemon)
acaciaspring_program(acaciaspring_gatewayd SOURCES src/main/acaciaspring_gatewayd.cc DEPENDS acaciaspring_platform)
acaciaspring_program(acaciaspringctl SOURCES src/main/acaciaspringctl.cc DEPENDS acaciaspring_ctl)
acaciaspring_program(ticket_program SOURCES examples/ticket_program.cc DEPENDS acaciaspring_net PkgConfig::JSONCPP)
