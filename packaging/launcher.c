/*
 * Launcher of the one-file binary.
 *
 * It contains the statically linked Python interpreter. The compiled modules
 * are in a zip archive appended to the executable, from which the interpreter's
 * zip importer reads them. Nothing is written to a file system and no process
 * is started.
 */
#define PY_SSIZE_T_CLEAN
#include <Python.h>
#include <dlfcn.h>
#include <limits.h>
#include <unistd.h>

#define MAIN "import bundle_loader; bundle_loader.main()"

/* Loads a shared library, so that modules that need it by name find it. */
static PyObject *open_library(PyObject *module, PyObject *arguments)
{
    const char *path;
    (void)module;
    if (!PyArg_ParseTuple(arguments, "s", &path))
        return NULL;
    if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef methods[] = {
    {"open_library", open_library, METH_VARARGS, "Open a shared library."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef definition = {
    PyModuleDef_HEAD_INIT, "_bundle", "What the bundle needs of C.", -1,
    methods, NULL, NULL, NULL, NULL,
};

static PyObject *make_module(void)
{
    return PyModule_Create(&definition);
}

static PyStatus configure(PyConfig *config, int count, char **words)
{
    static char path[PATH_MAX];
    static wchar_t *wide;
    PyStatus status;
    ssize_t length = readlink("/proc/self/exe", path, sizeof path - 1);

    if (length < 0)
        return PyStatus_Error("/proc/self/exe cannot be read");
    path[length] = '\0';
    wide = Py_DecodeLocale(path, NULL);
    if (wide == NULL)
        return PyStatus_NoMemory();
    config->parse_argv = 0;
    config->site_import = 0;
    config->write_bytecode = 0;
    config->install_signal_handlers = 1;
    config->module_search_paths_set = 1;
    status = PyWideStringList_Append(&config->module_search_paths, wide);
    if (PyStatus_Exception(status))
        return status;
    status = PyConfig_SetString(config, &config->executable, wide);
    if (PyStatus_Exception(status))
        return status;
    return PyConfig_SetBytesArgv(config, count, words);
}

int main(int count, char **words)
{
    PyPreConfig before;
    PyConfig config;
    PyStatus status;

    PyPreConfig_InitIsolatedConfig(&before);
    before.utf8_mode = 1;
    status = Py_PreInitialize(&before);
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);
    if (PyImport_AppendInittab("_bundle", make_module) < 0)
        return 70;
    PyConfig_InitIsolatedConfig(&config);
    status = configure(&config, count, words);
    if (!PyStatus_Exception(status))
        status = PyConfig_SetString(&config, &config.run_command,
                                    Py_DecodeLocale(MAIN, NULL));
    if (!PyStatus_Exception(status))
        status = Py_InitializeFromConfig(&config);
    PyConfig_Clear(&config);
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);
    return Py_RunMain();
}
