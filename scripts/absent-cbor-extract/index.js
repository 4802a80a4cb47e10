module.exports = {}
