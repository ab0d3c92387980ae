# Declares one library of src/libs. Usage: damaskhollow_library(NAME DEPENDS target...). All .cpp and .cc files of the
# folder belong to the library; new files are picked up when CMake runs again.
function(damaskhollow_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/*.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/*.h)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} PRIVATE damaskhollow_options)
endfunction()

# Declares a program from all .cpp files of the folder. Usage: damaskhollow_program(NAME DEPENDS target...).
function(damaskhollow_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;SOURCES" ${ARGN})
  if(NOT ARG_SOURCES)
    file(GLOB ARG_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/*.h)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} damaskhollow_options)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
