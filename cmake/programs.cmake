# Executables of the product.
acaciaspring_program(acaciaspringd SOURCES src/main/acaciaspringd.cc DEPENDS acaciaspring_daemon)
acaciaspring_program(acaciaspringctl SOURCES src/main/acaciaspringctl.cc DEPENDS acaciaspring_ctl)
